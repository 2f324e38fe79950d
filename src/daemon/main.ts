#!/usr/bin/env -S node --max-semi-space-size=32
/**
 * Entry point of `endivemilld`, the daemon that runs an entry VM.
 */
import {createEtcdPlatform} from '../platform/index.js';
import {createEntryVm} from '../process/index.js';
import {runDaemon} from './run-daemon.js';
import {getEntryVmOptions} from './entry-vm-settings.js';
import {createTlsStores} from './tls-settings.js';

await runDaemon(async (settings, log) => {
	const platform = createEtcdPlatform({endpoints: settings.platformUrls});
	const entryVm = await createEntryVm(getEntryVmOptions(settings, platform, log, await createTlsStores(settings, log)));
	log.info({
		caller: entryVm.getCallerAddress(), operator: entryVm.getOperatorAddress(), peer: entryVm.getPeerAddress(),
	}, 'listening');
	return entryVm;
});

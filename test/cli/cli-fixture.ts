import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {type CliHost, runCli} from '../../src/cli/index.js';
import {type ListedEntryVm} from '../../src/platform/index.js';
import {systemRandom} from '../../src/seams/index.js';
import {createPlatformStandIn, type PlatformStandIn} from '../../src/testing/index.js';
import {loopbackHost} from '../support/loopback-host.js';
import {createSlowClock} from '../support/slow-clock.js';

type TeardownContext = {readonly teardown: (clean: () => Promise<void>) => void};

export type CliRun = {
	readonly exitCode: number;
	readonly out: string;
	readonly err: string;
};

/** Slowdown of the commands' clock: the time limit of 1.5 s of a call becomes 9 s, which holds on a busy machine. */
const clockFactor = 6;

/** Runs one command and collects what it prints. */
export async function run(argv: readonly string[], env: Readonly<Record<string, string>> = {}): Promise<CliRun> {
	let out = '';
	let err = '';
	const host: CliHost = {
		env, clock: createSlowClock(clockFactor), random: systemRandom, isTerminal: false, userName: 'asha',
		writeOut(text) {
			out += text;
		},
		writeErr(text) {
			err += text;
		},
		async waitForInterrupt() {
			out += 'stopped\n';
		},
	};
	const exitCode = await runCli(argv, {host});
	return {exitCode, out, err};
}

/** Starts a platform stand-in; returns it with the environment variables that select it. */
export async function startStandIn(t: TeardownContext): Promise<{standIn: PlatformStandIn; env: Readonly<Record<string, string>>}> {
	const standIn = await createPlatformStandIn({host: loopbackHost});
	t.teardown(async () => standIn.close());
	const env = Object.fromEntries([['ENDIVEMILL_PLATFORM_URLS', standIn.getUrl()], ['ENDIVEMILL_DEPLOYMENT', 'test']]);
	return {standIn, env};
}

/** Creates a folder with one file of declarations and a file that is to be ignored. */
export async function createFolder(t: TeardownContext, text: string): Promise<string> {
	const folder = await mkdtemp(path.join(tmpdir(), 'endivemill-'));
	t.teardown(async () => rm(folder, {recursive: true}));
	await writeFile(path.join(folder, 'declarations.yaml'), text);
	await writeFile(path.join(folder, 'README.txt'), 'no declarations');
	return folder;
}

/** Starts a server that reports a version at the operator address of an entry VM. */
export async function startEntryVm(t: TeardownContext, name: string, getVersion: () => number): Promise<ListedEntryVm> {
	const server = createServer((_, res) => {
		res.end(JSON.stringify({configurationVersion: getVersion()}));
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(async () => {
		server.closeAllConnections();
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	return {
		kind: 'entry', name, dataCenter: 'shanti', state: 'live', callerAddress: '127.0.0.1:1', operatorAddress: `127.0.0.1:${port}`, peerAddress: '127.0.0.1:1',
	};
}

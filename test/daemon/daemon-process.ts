import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import process from 'node:process';
import {createInterface} from 'node:readline';
import type {ExecutionContext} from 'ava';
import {type ListedEntryVm} from '../../src/platform/index.js';

/** A daemon that runs as a child process. */
export type DaemonProcess = {
	readonly child: ChildProcess;
	readonly listed: ListedEntryVm;
	readonly exitCode: Promise<number | undefined>;
};

/** Starts a daemon and waits until it listens. */
export async function startDaemon(t: ExecutionContext, vm: string, platformUrl: string): Promise<DaemonProcess> {
	const [callerAddress, operatorAddress, peerAddress] = await getFreeAddresses();
	const listed: ListedEntryVm = {
		kind: 'entry', name: vm, dataCenter: 'dc1', state: 'live', callerAddress: callerAddress!, operatorAddress: operatorAddress!, peerAddress: peerAddress!,
	};
	const child = spawn(process.execPath, [
		'--import=tsx',
		'src/daemon/main.ts',
		'--deployment',
		'test',
		'--data-center',
		'dc1',
		'--vm',
		vm,
		'--platform-urls',
		platformUrl,
		'--caller-address',
		listed.callerAddress,
		'--operator-address',
		listed.operatorAddress,
		'--peer-address',
		listed.peerAddress,
		'--peer-key',
		'a key of the test, long enough',
		'--drain-ms',
		'200',
	], {stdio: ['ignore', 'pipe', 'inherit']});
	t.teardown(() => child.kill('SIGKILL'));
	const exitCode = (async () => {
		const [code] = await once(child, 'exit') as [number | undefined];
		return code;
	})();
	for await (const line of createInterface({input: child.stdout})) {
		const {msg} = JSON.parse(line) as {msg: string};
		if (msg === 'started') {
			break;
		}
	}

	child.stdout.resume();
	return {child, listed, exitCode};
}

/** Polls the status at an operator address until it satisfies a predicate. */
export async function waitForStatus(operatorAddress: string, predicate: (status: Record<string, unknown>) => boolean): Promise<void> {
	for (;;) {
		const res = await fetch(`http://${operatorAddress}/v1/status`);
		if (predicate(await res.json() as Record<string, unknown>)) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
	}
}

/** Gets three loopback addresses whose ports are currently free. */
async function getFreeAddresses(): Promise<readonly string[]> {
	const servers = await Promise.all(Array.from({length: 3}, async () => {
		const server = createServer().listen(0, '127.0.0.1');
		await once(server, 'listening');
		return server;
	}));
	const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return addresses;
}

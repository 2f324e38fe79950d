import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {type Readable} from 'node:stream';
import type {ExecutionContext} from 'ava';
import {type ListedEntryVm} from '../../src/platform/index.js';

/** A daemon that runs as a child process. */
export type DaemonProcess = {
	readonly child: ChildProcess;
	readonly listed: ListedEntryVm;
	readonly exitCode: Promise<number | undefined>;
};

/** Address whose port the operating system selects, so that no other process can take it in between. */
const ephemeralAddress = '127.0.0.1:0';

/** Lines of a daemon's log that say where it listens, and that it has started. */
type LogLine = {readonly msg: string; readonly caller: string; readonly operator: string; readonly peer: string};

/** Starts a daemon and waits until it listens. */
export async function startDaemon(t: ExecutionContext, vm: string, platformUrl: string): Promise<DaemonProcess> {
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
		ephemeralAddress,
		'--operator-address',
		ephemeralAddress,
		'--peer-address',
		ephemeralAddress,
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
	const listed = await readAddresses(child, vm);
	child.stdout.resume();
	return {child, listed, exitCode};
}

/** Reads the daemon's log until it has started; throws if it ends before. */
async function readAddresses({stdout}: {readonly stdout: Readable}, vm: string): Promise<ListedEntryVm> {
	let listed: ListedEntryVm | undefined;
	for await (const line of createInterface({input: stdout})) {
		const {msg, caller, operator, peer} = JSON.parse(line) as LogLine;
		if (msg === 'listening') {
			listed = {
				kind: 'entry', name: vm, dataCenter: 'dc1', state: 'live', callerAddress: caller, operatorAddress: operator, peerAddress: peer,
			};
		}

		if (msg === 'started' && listed !== undefined) {
			return listed;
		}
	}

	throw new Error(`Daemon ${vm} ended before it started`);
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

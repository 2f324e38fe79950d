import test from 'ava';
import {
	type DaemonHost, type DaemonService, exitCodes, runDaemon,
} from '../../src/daemon/index.js';
import {systemClock} from '../../src/seams/index.js';

const secret = 'a-peer-key-of-24-letters';
const flags = [
	'--deployment=sangha',
	'--data-center=kolkata',
	'--vm=entry-1',
	'--caller-address=10.0.0.1:7300',
	'--operator-address=10.0.0.1:7301',
	'--peer-address=10.0.0.1:7302',
	'--platform-urls=http://10.0.0.9:2379',
	`--peer-key=${secret}`,
];

type FakeHost = DaemonHost & {
	readonly out: string[];
	readonly err: string[];
	readonly codes: number[];
	readonly delays: number[];
	readonly fireTimers: () => void;
	readonly signal: (name: string) => void;
};

function createHost(argv: readonly string[]): FakeHost {
	const listeners: Array<(signal: string) => void> = [];
	const timers = new Set<() => void>();
	const host = {
		out: [] as string[], err: [] as string[], codes: [] as number[], delays: [] as number[],
	};
	return {
		...host,
		argv,
		env: {},
		clock: {
			...systemClock,
			setTimer(callback, delayMs) {
				host.delays.push(delayMs);
				timers.add(callback);
				return {
					close() {
						timers.delete(callback);
					},
				};
			},
		},
		writeOut(text) {
			host.out.push(text);
		},
		writeErr(text) {
			host.err.push(text);
		},
		onSignal(listener) {
			listeners.push(listener);
		},
		exit(code) {
			host.codes.push(code);
		},
		fireTimers() {
			for (const callback of timers) {
				callback();
			}
		},
		signal(name) {
			for (const listener of listeners) {
				listener(name);
			}
		},
	};
}

async function startService(): Promise<DaemonService> {
	return {
		async close() {
			return undefined;
		},
	};
}

test('invalid settings end the process before the service starts', async t => {
	const host = createHost(['--vm=entry-1']);
	await runDaemon(async () => {
		t.fail();
		return startService();
	}, {host});
	t.deepEqual(host.codes, [exitCodes.wrongSettings]);
	t.true(host.err.length > 1 && host.err.every(line => line.startsWith('endivemilld: --') && line.endsWith('\n')));
});

test('the help ends with success', async t => {
	const host = createHost(['--help']);
	await runDaemon(startService, {host});
	t.deepEqual(host.codes, [exitCodes.success]);
	t.true(host.out.join('').includes('--platform-urls'));
});

test('a signal stops the service gracefully, and the log contains no secret', async t => {
	const host = createHost(flags);
	const running = runDaemon(startService, {host});
	host.signal('SIGTERM');
	await running;
	t.deepEqual(host.codes, [exitCodes.success]);
	const log = host.out.join('');
	t.true(log.includes('"stopped"') && log.includes('[redacted]'));
	t.false(log.includes(secret));
});

test('a second signal ends the process immediately', async t => {
	const host = createHost(flags);
	let closeCalled: (() => void) | undefined;
	const isClosing = new Promise<void>(resolve => {
		closeCalled = resolve;
	});
	void runDaemon(async () => ({
		async close() {
			closeCalled?.();
			return new Promise(() => {
				// The stop never ends.
			});
		},
	}), {host});
	host.signal('SIGTERM');
	await isClosing;
	t.deepEqual(host.codes, []);
	host.signal('SIGINT');
	t.deepEqual(host.codes, [exitCodes.forced]);
	host.fireTimers();
	t.deepEqual(host.codes, [exitCodes.forced, exitCodes.stopTimeout]);
	t.true(host.delays[0]! > 60_000, 'the time limit of the process exceeds that of running work');
});

test('a failed start or stop is reported by the exit code', async t => {
	const host = createHost(flags);
	await runDaemon(async () => {
		throw new Error('address in use');
	}, {host});
	t.deepEqual(host.codes, [exitCodes.failure]);
	t.true(host.out.join('').includes('address in use'));

	const stopping = createHost(flags);
	const running = runDaemon(async () => ({
		async close() {
			throw new Error('broken');
		},
	}), {host: stopping});
	stopping.signal('SIGINT');
	await running;
	t.deepEqual(stopping.codes, [exitCodes.failure]);
});

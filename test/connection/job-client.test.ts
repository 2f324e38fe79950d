import {Buffer} from 'node:buffer';
import test from 'ava';
import {
	decodeValue, encodeFrame, encodeValue, frameHeaderBytes,
} from '../../src/connection/frame-codec.js';
import {type FrameConnection} from '../../src/connection/frame-connection.js';
import {createImmediateProgress} from '../../src/connection/input-progress.js';
import {JobClient} from '../../src/connection/job-client.js';
import {type PeerOutcome} from '../../src/connection/index.js';
import {ManualClock} from '../../src/testing/index.js';

/** Size of a body of three parts, in bytes. */
const largeBytes = 600_000;

/** Connection that takes frames until the test fills its buffer. */
class FakeConnection {
	readonly topics: string[] = [];
	isBufferFull = false;
	#isClosed = false;
	#receive: ((payloads: readonly Uint8Array[] | undefined) => void) | undefined;
	readonly #drainCallbacks: Array<() => void> = [];

	async receiveAll(): Promise<readonly Uint8Array[] | undefined> {
		return new Promise(resolve => {
			this.#receive = resolve;
		});
	}

	send(frame: Uint8Array): void {
		const {value} = decodeValue(frame.subarray(frameHeaderBytes)) as {readonly value: {readonly type: string; readonly topic?: string}};
		this.topics.push(value.topic ?? value.type);
	}

	isClosed(): boolean {
		return this.#isClosed;
	}

	getLastReceived(): number {
		return 0;
	}

	getBufferedBytes(): number {
		return this.isBufferFull ? Infinity : 0;
	}

	addDrainCallback(callback: () => void): void {
		this.#drainCallbacks.push(callback);
	}

	drain(): void {
		this.isBufferFull = false;
		for (const callback of this.#drainCallbacks) {
			callback();
		}
	}

	/** Closes the connection; the client notices it with `endInput`. */
	close(): void {
		this.#isClosed = true;
	}

	endInput(): void {
		this.close();
		this.#receive?.(undefined);
	}

	answer(id: number, body: unknown): void {
		const part = encodeValue(body);
		this.#receive?.([encodeFrame({
			type: 'answer', id, logicalTime: 0, size: part.length, part,
		}).subarray(frameHeaderBytes)]);
	}
}

function createClient() {
	const clock = new ManualClock();
	const connection = new FakeConnection();
	let connect: (isOk: boolean) => void = () => {/* The client has not started to connect. */};
	const client = new JobClient({
		clock,
		inputProgress: createImmediateProgress(clock),
		connect: async () => new Promise(resolve => {
			connect = isOk => {
				resolve(isOk ? {ok: true, connection: connection as unknown as FrameConnection} : {ok: false, detail: 'refused'});
			};
		}),
		maxBodyBytes: 1_000_000,
		silenceMs: 500,
		getTimeoutFactor: () => 1,
		idleMs: 10_000,
		getLogicalTime: () => 0,
		onLogicalTime() {/* Not tested here. */},
		onFault() {/* Not tested here. */},
	});
	return {
		clock, connection, client,
		connect(isOk: boolean) {
			connect(isOk);
		},
	};
}

type Fixture = ReturnType<typeof createClient>;

type Case = {
	readonly name: string;
	/** Sends the request `x` and ends the connection or the request. */
	readonly run: (fixture: Fixture, send: (body?: unknown, signal?: AbortSignal) => void) => void | Promise<void>;
	readonly kind: PeerOutcome['kind'];
};

async function open({clock, client, connect, connection}: Fixture): Promise<void> {
	const first = client.request({topic: 'first', body: 0});
	connect(true);
	await clock.advance(0);
	connection.answer(1, 0);
	await first;
}

const cases: readonly Case[] = [
	{
		name: 'the connection cannot be opened',
		run({connect}, send) {
			send();
			connect(false);
		},
		kind: 'not_sent',
	},
	{
		name: 'cancelled before the connection is open',
		async run({clock, connect}, send) {
			const controller = new AbortController();
			send('body', controller.signal);
			controller.abort();
			connect(true);
			await clock.advance(0);
		},
		kind: 'not_sent',
	},
	{
		name: 'the connection ends while the request waits behind others',
		async run(fixture, send) {
			await open(fixture);
			fixture.connection.isBufferFull = true;
			send();
			fixture.connection.endInput();
			fixture.connection.drain();
		},
		kind: 'not_sent',
	},
	{
		name: 'cancelled while the request waits behind others',
		async run(fixture, send) {
			await open(fixture);
			fixture.connection.isBufferFull = true;
			const controller = new AbortController();
			send('body', controller.signal);
			controller.abort();
			fixture.connection.drain();
		},
		kind: 'not_sent',
	},
	{
		name: 'the connection was closed and the client has not noticed it',
		async run(fixture, send) {
			await open(fixture);
			fixture.connection.close();
			send();
			fixture.connection.endInput();
		},
		kind: 'not_sent',
	},
	{
		name: 'too large',
		async run(fixture, send) {
			await open(fixture);
			send(Buffer.alloc(1_000_001));
		},
		kind: 'not_sent',
	},
	{
		name: 'the connection ends after the request was sent',
		async run(fixture, send) {
			await open(fixture);
			send();
			fixture.connection.endInput();
		},
		kind: 'lost',
	},
	{
		name: 'the connection ends after the first part of the request was sent',
		async run(fixture, send) {
			await open(fixture);
			const sendFrame = fixture.connection.send.bind(fixture.connection);
			fixture.connection.send = frame => {
				sendFrame(frame);
				fixture.connection.isBufferFull = true;
			};

			send(Buffer.alloc(largeBytes));
			fixture.connection.endInput();
		},
		kind: 'lost',
	},
	{
		name: 'cancelled after the request was sent',
		async run(fixture, send) {
			await open(fixture);
			const controller = new AbortController();
			send('body', controller.signal);
			controller.abort();
		},
		kind: 'lost',
	},
];

for (const {name, run, kind} of cases) {
	test(`a request counts as not sent only if no part of it was passed on (${name})`, async t => {
		const fixture = createClient();
		let outcome: Promise<PeerOutcome> | undefined;
		await run(fixture, (body, signal) => {
			outcome = fixture.client.request({topic: 'x', body: body ?? 'body'}, signal);
		});
		t.like(await outcome, {kind});
		t.is(fixture.connection.topics.includes('x'), kind !== 'not_sent');
	});
}

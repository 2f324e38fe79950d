import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {buildConnector} from 'undici';
import {type UpstreamRequestOptions, createUpstreamClient} from '../../src/connection/index.js';
import {UpstreamExchange} from '../../src/connection/upstream-exchange.js';
import {createSeededRandom} from '../../src/seams/index.js';
import {answer, createRawUpstream} from './raw-upstream.js';

const options: UpstreamRequestOptions = {timeoutMs: 20_000, notStartedStatuses: [], idleConnectionMs: 30_000};
const seed = 11;
const raceCount = 600;

/** Socket methods with which an upstream closes a persistent connection while the client may be reusing it. */
const closeMethods = ['end', 'destroy', 'resetAndDestroy'] as const;

for (const method of ['GET', 'POST']) {
	test(`a ${method} is never repeated when a persistent connection closes at the moment of reuse`, async t => {
		const random = createSeededRandom(seed);
		const raw = await createRawUpstream(({socket}) => {
			answer(socket);
			const closeMethod = closeMethods[Math.floor(random.getFloat() * closeMethods.length)] ?? 'end';
			const turns = Math.floor(random.getFloat() * 5);
			void (async () => {
				for (let turn = 0; turn < turns; turn++) {
					await nextTurn();
				}

				socket[closeMethod]();
			})();
		});
		const client = createUpstreamClient();
		const kinds = new Map<string, number>();
		for (let index = 0; index < raceCount; index++) {
			const path = `/${index}`;
			const outcome = await client.run(raw.upstream, {method, path, headers: []}, options);
			const heads = raw.lines.filter(line => line.split(' ')[1] === path).length;
			const minHeads = outcome.kind === 'answered' ? 1 : 0;
			const maxHeads = outcome.kind === 'not_started' ? 0 : 1;
			t.true(heads >= minHeads && heads <= maxHeads, `${path}: ${outcome.kind}, ${heads} heads`);
			kinds.set(outcome.kind, (kinds.get(outcome.kind) ?? 0) + 1);
			for (let turn = Math.floor(random.getFloat() * 4); turn > 0; turn--) {
				await nextTurn();
			}
		}

		await client.close();
		await raw.close();
		t.is(new Set(raw.lines).size, raw.lines.length);
		t.log(Object.fromEntries(kinds));
	});
}

test('a request that ended before its connection was open is never sent', async t => {
	const raw = await createRawUpstream(({socket}) => {
		answer(socket);
	});
	const connect = buildConnector({});
	const pendingConnects: Array<() => void> = [];
	const client = createUpstreamClient({
		connector(connectOptions, callback) {
			pendingConnects.push(() => {
				connect(connectOptions, callback);
			});
		},
	});
	const controller = new AbortController();
	const cancelled = client.run(raw.upstream, {method: 'GET', path: '/cancelled', headers: []}, {...options, signal: controller.signal});
	const late = client.run(raw.upstream, {method: 'GET', path: '/late', headers: []}, {...options, timeoutMs: 10});
	controller.abort();
	t.deepEqual(await cancelled, {kind: 'not_started', detail: 'cancelled', isUnreachable: false});
	t.like(await late, {kind: 'not_started', isUnreachable: true});

	const next = client.run(raw.upstream, {method: 'GET', path: '/next', headers: []}, options);
	while (pendingConnects.length > 0) {
		pendingConnects.shift()?.();
	}

	t.like(await next, {kind: 'answered'});
	t.deepEqual(raw.lines, ['GET /next HTTP/1.1']);
	await client.close();
	await raw.waitForNoConnection();
	await raw.close();
});

test('a request cancelled before the call is not sent', async t => {
	const client = createUpstreamClient();
	const raw = await createRawUpstream(({socket}) => {
		answer(socket);
	});
	t.like(await client.run(raw.upstream, {method: 'GET', path: '/', headers: []}, {...options, signal: AbortSignal.abort()}), {kind: 'not_started', isUnreachable: false});
	t.is(raw.getConnectionCount(), 0);
	await client.close();
	await raw.close();
});

test('an exchange rejects a second start', t => {
	const kinds: string[] = [];
	const aborts: string[] = [];
	const createController = (): Parameters<UpstreamExchange['onRequestStart']>[0] => ({
		aborted: false,
		paused: false,
		reason: null,
		abort(reason: Error) {
			aborts.push(reason.message);
		},
		pause() {
			t.fail();
		},
		resume() {
			t.fail();
		},
	});
	const exchange = new UpstreamExchange({
		notStartedStatuses: [],
		maxAnswerBytes: 10,
		settle(outcome) {
			kinds.push(outcome.kind);
		},
	});
	exchange.onRequestStart(createController());
	t.deepEqual(aborts, []);
	exchange.onRequestStart(createController());
	t.deepEqual(aborts, ['request must not be sent']);
	exchange.onResponseError(undefined, new Error('aborted'));
	t.deepEqual(kinds, ['failed']);
});

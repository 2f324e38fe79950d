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

/** Ways in which an upstream ends a kept connection while the client may be using it again. */
const endings = ['end', 'destroy', 'resetAndDestroy'] as const;

for (const method of ['GET', 'POST']) {
	test(`a kept connection that closes at the moment of reuse never repeats a ${method}`, async t => {
		const random = createSeededRandom(seed);
		const raw = await createRawUpstream(({socket}) => {
			answer(socket);
			const ending = endings[Math.floor(random.getFloat() * endings.length)] ?? 'end';
			const turns = Math.floor(random.getFloat() * 5);
			void (async () => {
				for (let turn = 0; turn < turns; turn++) {
					await nextTurn();
				}

				socket[ending]();
			})();
		});
		const client = createUpstreamClient();
		const kinds = new Map<string, number>();
		for (let index = 0; index < raceCount; index++) {
			const path = `/${index}`;
			const outcome = await client.run(raw.upstream, {method, path, headers: []}, options);
			const heads = raw.lines.filter(line => line.split(' ')[1] === path).length;
			const least = outcome.kind === 'answered' ? 1 : 0;
			const most = outcome.kind === 'not_started' ? 0 : 1;
			t.true(heads >= least && heads <= most, `${path}: ${outcome.kind}, ${heads} heads`);
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

test('a request that ended before its connection was made is never sent', async t => {
	const raw = await createRawUpstream(({socket}) => {
		answer(socket);
	});
	const connect = buildConnector({});
	const held: Array<() => void> = [];
	const client = createUpstreamClient({
		connector(connectOptions, callback) {
			held.push(() => {
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
	while (held.length > 0) {
		held.shift()?.();
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

test('an exchange forbids its second start', t => {
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

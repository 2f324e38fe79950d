import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {
	type ChangeOutcome, ConfigurationStore, historyLength, type StoredConfiguration,
} from '../../src/cli/index.js';
import {createEtcdPlatform, getConfigurationKey, type Platform} from '../../src/platform/index.js';
import {createPlatformStandIn, type PlatformStandIn} from '../../src/testing/index.js';
import {declarationsSchema} from '../../src/version/index.js';
import {loopbackHost} from '../support/loopback-host.js';

type Fixture = {
	readonly standIn: PlatformStandIn;
	readonly platform: Platform;
	readonly store: ConfigurationStore;
};

async function start(t: ExecutionContext, outcomeTimeoutMs = 5000): Promise<Fixture> {
	const standIn = await createPlatformStandIn({host: loopbackHost});
	const platform = createEtcdPlatform({
		endpoints: [standIn.getUrl()], callTimeoutMs: 1000, callsPerSecond: 100_000, callBurst: 100_000,
	});
	t.teardown(async () => {
		await platform.close();
		await standIn.close();
	});
	return {standIn, platform, store: new ConfigurationStore({platform, deployment: 'test', outcomeTimeoutMs})};
}

async function readBase(store: ConfigurationStore): Promise<StoredConfiguration> {
	const current = await store.getCurrent();
	if (!current.ok) {
		throw new Error('the current version cannot be read');
	}

	return current.value;
}

async function apply(store: ConfigurationStore, base: StoredConfiguration, message = ''): Promise<ChangeOutcome> {
	return store.applyChange({
		base, declarations: declarationsSchema.parse({teams: {[message || 'team']: {}}}), author: 'asha', message,
	});
}

async function getKeptVersions(t: ExecutionContext, store: ConfigurationStore): Promise<readonly number[]> {
	const history = await store.getHistory();
	t.true(history.ok);
	return history.ok ? history.value.map(({version}) => version) : [];
}

/** Wraps a platform; calls `interrupt` right after the first write of the configuration. */
function interruptAfterWrite(platform: Platform, interrupt: () => Promise<unknown>): Platform {
	let isDone = false;
	return {
		getKey: async key => platform.getKey(key),
		getRange: async prefix => platform.getRange(prefix),
		getDigest: async prefix => platform.getDigest(prefix),
		async compareAndSwap(key, value, expectedModRevision) {
			const result = await platform.compareAndSwap(key, value, expectedModRevision);
			if (!isDone && key === getConfigurationKey('test')) {
				isDone = true;
				await interrupt();
			}

			return result;
		},
		watch: prefix => platform.watch(prefix),
		getCallCount: () => platform.getCallCount(),
		close: async () => platform.close(),
	};
}

test('of two concurrent changes, the second is refused with the version of the first', async t => {
	const {store} = await start(t);
	const base = await readBase(store);
	t.like(await apply(store, base, 'first'), {kind: 'accepted', configuration: {version: 1}});
	t.like(await apply(store, base, 'second'), {kind: 'refused', current: {version: 1, message: 'first'}});
	t.deepEqual(await getKeptVersions(t, store), [1]);
});

test('a change whose answer is lost and that has since been replaced is reported as replaced', async t => {
	const {standIn, platform, store} = await start(t);
	const interrupted = interruptAfterWrite(platform, async () => {
		await standIn.setFault();
		await apply(store, await readBase(store), 'later');
	});
	await standIn.setFault({losesAnswers: true});
	const ours = new ConfigurationStore({platform: interrupted, deployment: 'test'});
	t.like(await apply(ours, await readBase(ours), 'ours'), {kind: 'replaced', configuration: {version: 1}, current: {version: 2, message: 'later'}});
});

test('a lost answer that hides a refusal is reported as refused', async t => {
	const {standIn, platform, store} = await start(t);
	const ours = new ConfigurationStore({
		platform: {
			...interruptAfterWrite(platform, async () => undefined),
			// The request is lost before it takes effect, and another operator's change is written before the retry.
			async compareAndSwap(key, value, expectedModRevision) {
				const result = await platform.compareAndSwap(key, value, expectedModRevision);
				await standIn.setFault();
				await apply(store, await readBase(store), 'other');
				return result;
			},
		},
		deployment: 'test',
	});
	const base = await readBase(ours);
	await standIn.setFault({isSilent: true});
	t.like(await apply(ours, base, 'ours'), {kind: 'refused', current: {version: 1, message: 'other'}});
});

test('the outcome is unknown when the store never answers', async t => {
	const {standIn, store} = await start(t, 50);
	const base = await readBase(store);
	await standIn.setFault({isSilent: true});
	t.like(await apply(store, base), {kind: 'unknown'});
});

test('a change is unavailable and nothing is written while the store is down', async t => {
	const {standIn, store} = await start(t, 50);
	await apply(store, await readBase(store));
	const base = await readBase(store);
	await standIn.setFault({isDown: true});
	t.like(await apply(store, base), {kind: 'unavailable'});
	await standIn.setFault();
	t.deepEqual(await getKeptVersions(t, store), [1]);
});

test('a change is accepted when the store recovers in time', async t => {
	const {standIn, store} = await start(t);
	const base = await readBase(store);
	await standIn.setFault({isDown: true});
	const outcome = apply(store, base);
	await standIn.setFault();
	t.like(await outcome, {kind: 'accepted'});
});

test('a bounded number of versions is kept', async t => {
	const {store} = await start(t);
	for (let count = 0; count < historyLength + 5; count++) {
		await apply(store, await readBase(store), `m${count}`);
	}

	const kept = await getKeptVersions(t, store);
	t.deepEqual(kept, Array.from({length: historyLength + 1}, (_, index) => historyLength + 5 - index));
});

test('concurrent changes with lost answers leave one history without gaps', async t => {
	const step = fc.record({operator: fc.nat(2), doesRead: fc.boolean(), losesAnswers: fc.boolean()});
	await fc.assert(fc.asyncProperty(fc.array(step, {maxLength: 12}), async steps => {
		const {standIn, store} = await start(t);
		const bases = new Map<number, StoredConfiguration>();
		const accepted: number[] = [];
		for (const {operator, doesRead, losesAnswers} of steps) {
			if (doesRead || !bases.has(operator)) {
				bases.set(operator, await readBase(store));
			}

			await standIn.setFault({losesAnswers});
			const outcome = await apply(store, bases.get(operator)!);
			if (outcome.kind === 'accepted') {
				accepted.push(outcome.configuration.version);
			}
		}

		const kept = await getKeptVersions(t, store);
		t.deepEqual([...kept].reverse(), accepted);
		t.deepEqual(accepted, accepted.map((_, index) => index + 1));
	}), {seed: 11, numRuns: 15});
});

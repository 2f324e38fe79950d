/**
 * Readers of the store beside arbitrary entries of other writers.
 */
import {Buffer} from 'node:buffer';
import {isIP} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {decodeValue, encodeValue} from '../../src/connection/frame-codec.js';
import {dialTcp} from '../../src/connection/index.js';
import {parseAddress} from '../../src/connection/tcp-transport.js';
import {decodePoolClaims} from '../../src/pool/pool-decoding.js';
import {PoolLayout, type UpstreamDescription, upstreamsSchema} from '../../src/pool/index.js';
import {ConfigurationWatch} from '../../src/platform/configuration-watch.js';
import {decodeConfiguration} from '../../src/platform/decode-configuration.js';
import {decodeUpstream} from '../../src/platform/decode-upstream.js';
import {type ListedEntryVm} from '../../src/platform/index.js';
import {LayoutManager} from '../../src/platform/layout-manager.js';
import {type StoreClient} from '../../src/platform/store-client.js';
import {UpstreamList} from '../../src/platform/upstream-list.js';
import {VmRegistry} from '../../src/platform/vm-registry.js';
import {ManualClock} from '../../src/testing/manual-clock.js';
import {silentLog} from '../pool/pool-harness.js';
import {createFakeStoreClient} from './store-fixture.js';

const liveIds = ['u0', 'u1', 'u2'];
const self = {
	name: 'edge-dc1-1', dataCenter: 'dc1', peerAddress: '10.0.1.1:3', callerAddress: '10.0.1.1:1',
};
const peer = {...self, name: 'edge-dc1-2', peerAddress: '10.0.1.2:3'};

function createUpstreamEntry(id: string): Readonly<Record<string, unknown>> {
	return {
		service: 's', address: `10.0.0.${liveIds.indexOf(id) + 1}:80`, zone: 'dc1', state: 'ready', version: 'v1',
		capacity: {cpu: 16_000, mem_mb: 1000, gpu: 1}, labels: ['a', 'r1'], born: 5, seq: 1,
	};
}

const configuration = {
	version: 1, routes: [{
		name: 'r', host: 'h', prefix: '/', service: 's',
	}], services: [{name: 's'}], limits: {},
};

/** JSON texts that replace a field; some are not valid JSON. */
const oddTexts = [
	'1e400',
	'1e308',
	'-1e308',
	'-0',
	'-1',
	'0.5',
	'9007199254740993',
	'NaN',
	'null',
	'true',
	'{}',
	'[]',
	'""',
	'"x"',
	'[[1]]',
	`${'['.repeat(10_000)}${']'.repeat(10_000)}`,
	`${'{"a":'.repeat(10_000)}1${'}'.repeat(10_000)}`,
	`"${'x'.repeat(400)}"`,
	`["${'x'.repeat(400)}"]`,
	String.raw`["\u0000"]`,
	'"10.0.0.1:99999"',
	'"10.0.0.1:0"',
	'"10.0.0.1"',
	'"999.0.0.1:80"',
	'"x y:80"',
	'"host.example:80"',
	'"user:pw@10.0.0.1:80"',
	'"10.0.0.1:80/x"',
	'"[::1]:80"',
	'"[::1]:99999"',
];

type Path = readonly [field: string, inner?: string];

/** Gets the fields of a value and those of the objects in it. */
function getPaths(valid: Readonly<Record<string, unknown>>): readonly Path[] {
	return Object.entries(valid).flatMap(([field, value]): readonly Path[] =>
		[[field], ...typeof value === 'object' && value !== null && !Array.isArray(value) ? Object.keys(value).map((inner): Path => [field, inner]) : []]);
}

/** Replaces a field by a JSON text, or drops it. */
function mutate(valid: Readonly<Record<string, unknown>>, [field, inner]: Path, text: string | undefined): string {
	const replacement = text === undefined ? undefined : '\uE000';
	const mutated = {...valid, [field]: inner === undefined ? replacement : {...valid[field] as Record<string, unknown>, [inner]: replacement}};
	return JSON.stringify(mutated).replace('"\uE000"', () => text!);
}

/** A field of a valid value, or of an object in it, that is dropped or replaced; addresses more often than others. */
function createMutated(valid: Readonly<Record<string, unknown>>): fc.Arbitrary<string> {
	const paths: readonly Path[] = [...getPaths(valid), ['new_field']];
	const path = fc.oneof(fc.constantFrom(...paths), fc.constantFrom(...paths.filter(([field]) => /address$|^new_/iv.test(field))));
	const oddText = fc.option(fc.constantFrom(...oddTexts), {nil: undefined, freq: 8});
	return fc.tuple(path, oddText).map(([field, text]) => mutate(valid, field, text));
}

/** Base64 of a mutated valid value or of any text or bytes, or any text that may not be base64; `undefined` is a value that is omitted. */
function createOddValue(...valid: ReadonlyArray<Readonly<Record<string, unknown>>>): fc.Arbitrary<string | undefined> {
	const text = fc.oneof({weight: 6, arbitrary: fc.oneof(...valid.map(value => createMutated(value)))}, fc.json(), fc.string());
	return fc.oneof(
		{weight: 8, arbitrary: text.map(value => Buffer.from(value).toString('base64'))},
		fc.uint8Array({maxLength: 40}).map(bytes => Buffer.from(bytes).toString('base64')),
		fc.string(),
		fc.constant(undefined),
	);
}

const oddSuffix = fc.oneof(fc.constantFrom('', 'a/b', 'x\n', 'ö', '__proto__', 'dc1/x', 'dc1#0/2', 'ghost', 'odd1', 'odd2', 'odd3'), fc.string({maxLength: 20}));
const oddItem = fc.oneof(
	{weight: 3, arbitrary: fc.record({key: fc.oneof(fc.constantFrom(...liveIds), oddSuffix).map(id => `servers/${id}`), value: createOddValue(createUpstreamEntry('u0'))})},
	fc.record({key: fc.oneof(fc.constant('odd1'), oddSuffix.filter(name => name !== self.name && name !== peer.name)).map(name => `vms/${name}`), value: createOddValue({...self, name: 'odd1'})}),
	fc.record({key: oddSuffix.filter(name => name !== 'dc1').map(name => `layout/${name}`), value: createOddValue({pools: 3})}),
);
const step = fc.oneof(
	{weight: 8, arbitrary: oddItem.map(item => ({kind: 'odd' as const, ...item}))},
	{weight: 3, arbitrary: fc.constantFrom(...liveIds).map(id => ({kind: 'heartbeat' as const, id}))},
	{weight: 1, arbitrary: fc.constantFrom('compact' as const, 'clean' as const, 'pass' as const).map(kind => ({kind}))},
);

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

type Item = {readonly key: string; readonly value: string | undefined; readonly revision: number};

/** The store's items and their history. */
class Items {
	readonly items = new Map<string, Item>();
	#history: Array<Item & {readonly tombstone?: true}> = [];
	#compactedAt = 0;
	#revision = 1;

	set(key: string, value: string | undefined): void {
		this.#revision++;
		this.items.set(key, {key, value, revision: this.#revision});
		this.#history.push({key, value, revision: this.#revision});
	}

	setText(key: string, value: unknown): void {
		this.set(key, Buffer.from(JSON.stringify(value)).toString('base64'));
	}

	remove(key: string): void {
		this.#revision++;
		this.items.delete(key);
		this.#history.push({
			key, value: undefined, revision: this.#revision, tombstone: true,
		});
	}

	compact(): void {
		this.#history = [];
		this.#compactedAt = this.#revision;
	}

	getText(key: string): string {
		return Buffer.from(this.items.get(key)?.value ?? '', 'base64').toString();
	}

	answer(url: URL): {readonly status?: number; readonly body: unknown} {
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		if (url.pathname === '/api/kv-watch') {
			const events = this.#history.filter(({key, revision}) => key.startsWith(prefix) && revision > Number(after));
			return Number(after) < this.#compactedAt ? {status: 410, body: {}} : {body: {events, as_of: this.#revision}};
		}

		const items = [...this.items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((left, right) => left.key < right.key ? -1 : 1);
		const page = items.slice(0, 3);
		return {body: url.pathname === '/api/kv-range' ? {items: page, has_more: items.length > page.length, as_of: this.#revision} : {revision: this.#revision}};
	}
}

/** Lets the readers take all changes in. */
async function catchUp(clock: ManualClock): Promise<void> {
	for (let round = 0; round < 12; round++) {
		await clock.advance(100);
	}
}

async function readVms(clock: ManualClock, store: StoreClient): Promise<readonly ListedEntryVm[]> {
	let listed: readonly ListedEntryVm[] = [];
	const registry = new VmRegistry({
		clock, store, self, log: silentLog, onRead(vms) {
			listed = vms;
		},
	});
	void registry.run();
	await clock.advance(0);
	await clock.advance(0);
	registry.close();
	return listed;
}

function isUsable({id, address, bornMs, capacity}: UpstreamDescription): boolean {
	const {host, port} = parseAddress(address);
	return /^[!-~]+$/v.test(id) && isIP(host) > 0 && port >= 1 && port <= 65_535 && new URL(`http://${address}`).pathname === '/'
		&& [bornMs, ...Object.values(capacity)].every(value => value >= 0 && value <= Number.MAX_SAFE_INTEGER);
}

/** Writes odd entries beside live ones and checks the readers after each. */
async function checkReaders(t: ExecutionContext, steps: readonly Step[]): Promise<void> {
	const clock = new ManualClock();
	const items = new Items();
	const store = createFakeStoreClient(clock, url => items.answer(url));
	const layout = new PoolLayout();
	layout.setCount('dc1', 1);
	const list = new UpstreamList({
		clock, log: silentLog, store, layout, dataCenters: ['dc1'], onChange() {/* Not checked. */},
	});
	for (const id of liveIds) {
		items.setText(`servers/${id}`, createUpstreamEntry(id));
	}

	items.setText(`vms/${self.name}`, self);
	items.setText(`vms/${peer.name}`, peer);
	list.setFollowing(true);
	await catchUp(clock);
	for (const current of steps) {
		switch (current.kind) {
			case 'odd': {
				items.set(current.key, current.value);
				break;
			}

			case 'heartbeat': {
				items.setText(`servers/${current.id}`, createUpstreamEntry(current.id));
				break;
			}

			case 'compact': {
				items.compact();
				break;
			}

			case 'clean': {
				for (const key of items.items.keys()) {
					if (!liveIds.includes(key.slice('servers/'.length)) && key.startsWith('servers/')) {
						items.remove(key);
					}
				}

				break;
			}

			case 'pass': {
				await clock.advance(30_000);
			}
		}

		await catchUp(clock);
		const listed = list.getUpstreams('dc1');
		const missing = new Set(list.getMissingUpstreams('dc1').map(({id}) => id));
		t.true(listed.every(upstream => isUsable(upstream)));
		for (const id of liveIds) {
			const value = items.getText(`servers/${id}`);
			const isValid = decodeUpstream({key: `servers/${id}`, value}) !== undefined;
			t.true(isValid || missing.has(id));
			t.true(value !== JSON.stringify(createUpstreamEntry(id)) || listed.some(upstream => upstream.id === id));
		}

		const body = {
			pool: 'dc1', revision: list.getRevision(), upstreams: listed, overwritten: list.getOverwrittenUpstreams('dc1'),
		};
		const received = decodeValue(encodeValue(body));
		t.is(received.ok ? JSON.stringify(upstreamsSchema.parse(received.value).upstreams) : undefined, JSON.stringify(listed));
		const cores = listed.reduce((sum, {capacity}) => sum + capacity.cpu, 0);
		t.truthy(decodePoolClaims({
			dc1: {
				fence: 1, load: {
					cores, freeCpu: cores, rooms: [], queuedWork: 0,
				},
			},
		}));
		const vms = await readVms(clock, store);
		t.true([self.name, peer.name].every(name => vms.some(vm => vm.name === name)));
		const dials = await Promise.all(vms.map(async ({peerAddress}) => dialTcp(peerAddress, AbortSignal.abort())));
		t.false(dials.some(({ok}) => ok));
	}

	const others = new PoolLayout();
	const manager = new LayoutManager({
		clock, log: silentLog, store, layout: others, upstreams: list, dataCenter: 'dc1', dataCenters: ['dc1'], getMedianCores: () => 1, isDecider: () => false,
	});
	items.setText('layout/dc1', {pools: 2});
	void manager.run();
	await catchUp(clock);
	t.deepEqual(others.getPools(), ['dc1#0/2', 'dc1#1/2']);
	manager.close();
	list.close();
}

test('odd entries of other writers name no upstream, VM or pool, and the readers go on following the others', async t => {
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 1, maxLength: 14}), async steps => checkReaders(t, steps)), {seed: 41, numRuns: 120});
});

test('no field of an entry with an odd value makes it a usable upstream or VM that the readers trip over', async t => {
	const createSteps = (key: string, valid: Readonly<Record<string, unknown>>): readonly Step[] => getPaths(valid).flatMap(path =>
		oddTexts.map((text): Step => ({kind: 'odd', key, value: Buffer.from(mutate(valid, path, text)).toString('base64')})));
	await checkReaders(t, [...createSteps('servers/odd1', createUpstreamEntry('u0')), ...createSteps('vms/odd1', {...self, name: 'odd1'})]);
});

test('an odd configuration leaves the active version in force', t => {
	fc.assert(fc.property(fc.array(createOddValue(configuration), {maxLength: 10}), values => {
		const watch = new ConfigurationWatch({clock: new ManualClock(), log: silentLog, store: {} as StoreClient}); // eslint-disable-line @typescript-eslint/consistent-type-assertions
		watch.addText(JSON.stringify({...configuration, version: 7}), 'store');
		for (const value of values) {
			const text = Buffer.from(value ?? '', 'base64').toString();
			const before = watch.getRoutingTable()!.version;
			watch.addText(text, 'store');
			const decoded = decodeConfiguration(text);
			t.is(watch.getRoutingTable()!.version, decoded.ok ? Math.max(before, decoded.table.version) : before);
		}
	}), {seed: 42, numRuns: 300});
});

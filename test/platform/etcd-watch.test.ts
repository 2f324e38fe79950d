import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import {createEtcdPlatform, type WatchEvent} from '../../src/platform/index.js';
import {createPlatformStandIn, type PlatformFaults, type PlatformStandIn} from '../../src/testing/index.js';
import {loopbackHost} from '../support/loopback-host.js';

type Model = {
	readonly keys: ReadonlyMap<string, string>;
	/** Whether the revisions of each key have only increased. */
	isOrdered: boolean;
	apply(event: WatchEvent): void;
};

function createModel(): Model {
	const keys = new Map<string, string>();
	const revisions = new Map<string, number>();
	return {
		keys,
		isOrdered: true,
		apply(event) {
			if (event.kind === 'up' || event.kind === 'down') {
				return;
			}

			const {key, modRevision} = event.kind === 'put' ? event.entry : event;
			this.isOrdered &&= modRevision > (revisions.get(key) ?? 0);
			revisions.set(key, modRevision);
			if (event.kind === 'put') {
				keys.set(key, event.entry.value);
			} else {
				keys.delete(key);
			}
		},
	};
}

async function matchesStore(standIn: PlatformStandIn, model: Model): Promise<boolean> {
	const reader = createEtcdPlatform({endpoints: [standIn.getUrl()]});
	const range = await reader.getRange('/w/');
	await reader.close();
	const stored = range.ok ? range.value.entries.map(({key, value}) => `${key}=${value}`) : [];
	const seen = [...model.keys].map(([key, value]) => `${key}=${value}`).sort();
	return range.ok && stored.join(' ') === seen.join(' ');
}

const faults: fc.Arbitrary<PlatformFaults> = fc.constantFrom({}, {}, {isDown: true}, {isSilent: true}, {delayMs: 3}, {staleRevisions: 2});
const step = fc.oneof(
	{weight: 4, arbitrary: fc.record({kind: fc.constant('put' as const), key: fc.constantFrom('a', 'b', 'c')})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('remove' as const), key: fc.constantFrom('a', 'b', 'c')})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('fault' as const), faults})},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('compact' as const, 'silence' as const, 'wait' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('hidden-removal' as const), key: fc.constantFrom('a', 'b', 'c')})},
);

test('a watch converges to the stored state after any faults, with the changes of each key in order', async t => {
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 5, maxLength: 25}), async steps => {
		const standIn = await createPlatformStandIn({host: loopbackHost});
		const platform = createEtcdPlatform({
			endpoints: [standIn.getUrl()], callTimeoutMs: 50, watchSilenceMs: 60, firstBackoffMs: 1, maxBackoffMs: 10, callsPerSecond: 10_000, callBurst: 10_000,
		});
		const model = createModel();
		void platform.watch('/w/').observe(event => {
			model.apply(event);
		});
		await platform.watch('/w/').filter(({kind}) => kind === 'up').take(1).drain();
		for (const [index, current] of steps.entries()) {
			switch (current.kind) {
				case 'put': {
					standIn.putKey(`/w/${current.key}`, String(index));
					break;
				}

				case 'remove': {
					standIn.removeKey(`/w/${current.key}`);
					break;
				}

				case 'fault': {
					await standIn.setFault(current.faults);
					break;
				}

				case 'compact': {
					standIn.compact();
					break;
				}

				case 'silence': {
					standIn.silenceConnections();
					break;
				}

				case 'hidden-removal': {
					await standIn.setFault({isDown: true});
					standIn.removeKey(`/w/${current.key}`);
					standIn.putKey('/other', String(index));
					standIn.compact();
					await standIn.setFault();
					break;
				}

				case 'wait': {
					await wait(20);
					break;
				}
			}
		}

		await standIn.setFault();
		while (!await matchesStore(standIn, model)) {
			await wait(10);
		}

		t.true(model.isOrdered);
		await platform.close();
		await standIn.close();
	}), {seed: 21, numRuns: 40});
});

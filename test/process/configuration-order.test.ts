import test from 'ava';
import fc from 'fast-check';
import {getConfigurationKey, type KeyValue} from '../../src/platform/index.js';
import {createConfigurationFollower} from '../../src/process/index.js';
import {createConfiguration} from './follower-fixture.js';
import {FakePlatform} from './fake-platform.js';

const key = getConfigurationKey('test');

function createEntry(version: number, modRevision: number): KeyValue {
	return {key, value: JSON.stringify(createConfiguration(version)), modRevision};
}

const version = fc.integer({min: 1, max: 30});
const revision = fc.integer({min: 1, max: 60});
const step = fc.oneof(
	fc.record({kind: fc.constant('put' as const), version, revision}),
	fc.record({kind: fc.constant('read' as const), version, revision}),
	fc.record({kind: fc.constant('offer' as const), version, revision}),
	fc.record({kind: fc.constantFrom('delete' as const, 'garbage' as const, 'up' as const, 'down' as const), version, revision}),
);

test('the version never decreases for any order of watch events, stale reads and offers from peers', async t => {
	await fc.assert(fc.asyncProperty(fc.array(step, {maxLength: 40}), async steps => {
		const platform = new FakePlatform();
		const follower = createConfigurationFollower({platform, deployment: 'test', pollMs: 60_000});
		const seen: number[] = [];
		const ended = follower.getStream().observe(cfg => {
			seen.push(cfg.version);
		});
		let highest = 0;
		for (const {kind, version, revision} of steps) {
			switch (kind) {
				case 'put': {
					platform.emit({kind, entry: createEntry(version, revision)});

					break;
				}

				case 'read': {
					platform.setRange({revision, entries: [createEntry(version, revision)]});
					await follower.refresh();
					// The first refresh may share a read that started before the range was set.
					await follower.refresh();

					break;
				}

				case 'offer': {
					follower.offerConfiguration(createConfiguration(version));

					break;
				}

				case 'delete': {
					platform.emit({kind, key, modRevision: revision});

					break;
				}

				case 'garbage': {
					platform.emit({kind: 'put', entry: {key, value: '{', modRevision: revision}});

					break;
				}

				case 'up':
				case 'down': {
					platform.emit({kind, detail: ''});
				}
			}

			highest = Math.max(highest, ['put', 'read', 'offer'].includes(kind) ? version : 0);
			t.is(follower.getConfiguration().version, highest);
		}

		follower.close();
		await ended;
		t.deepEqual(seen, [...new Set(seen)].sort((left, right) => left - right));
	}), {seed: 5, numRuns: 200});
});

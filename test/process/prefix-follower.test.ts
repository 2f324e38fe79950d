import test from 'ava';
import {type KeyRange, type PlatformResult} from '../../src/platform/index.js';
import {PrefixFollower} from '../../src/process/prefix-follower.js';
import {FakePlatform} from './fake-platform.js';

/** A platform whose reads stay pending until the test answers them one by one. */
class ManualPlatform extends FakePlatform {
	readonly #pendingReads: Array<(revision: number) => void> = [];

	override async getRange(): Promise<PlatformResult<KeyRange>> {
		return new Promise(resolve => {
			this.#pendingReads.push(revision => {
				resolve({ok: true, value: {revision, entries: []}});
			});
		});
	}

	getPendingReadCount(): number {
		return this.#pendingReads.length;
	}

	answer(revision: number): void {
		this.#pendingReads.shift()!(revision);
	}
}

test('a refresh does not use the result of a read that started before it', async t => {
	const platform = new ManualPlatform();
	const revisions: number[] = [];
	const follower = new PrefixFollower({
		platform,
		deployment: 'test',
		subject: 'test',
		prefix: '/',
		pollMs: 60_000,
		onRange({revision}) {
			revisions.push(revision);
		},
		onChange: () => undefined,
	});
	const refreshed = Promise.all([follower.refresh(), follower.refresh()]);
	t.is(platform.getPendingReadCount(), 1);
	platform.answer(1);
	while (platform.getPendingReadCount() === 0) {
		await Promise.resolve();
	}

	platform.answer(2);
	t.deepEqual(await refreshed, [true, true]);
	t.deepEqual(revisions, [1, 2]);
	t.is(platform.getPendingReadCount(), 0);
	follower.close();
});

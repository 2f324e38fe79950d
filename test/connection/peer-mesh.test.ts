import test from 'ava';
import {
	createTestMesh, createList, waitForState, waitForMembers,
} from './test-mesh.js';

test('entry VMs in the list link up and exchange control messages and requests', async t => {
	const messages: unknown[] = [];
	const first = await createTestMesh(t, 'a', {
		onRequest: async ({topic, body}, from) => ({topic, body, from: from.id}),
	});
	const received = new Promise<void>(resolve => {
		void createTestMesh(t, 'b', {
			entryVms: createList(['kolkata', 'a', first.getAddress()]),
			onControl({body}) {
				messages.push(body);
				if (messages.length === 3) {
					resolve();
				}
			},
			onRequest: async () => 'answer of b',
		});
	});
	await waitForState(first, 'b-1', 'up');
	t.deepEqual([1, 2, 3].map(body => first.sendControl('b-1', {topic: 'x', body})), [true, true, true]);
	await received;
	t.deepEqual(messages, [1, 2, 3]);
	t.deepEqual(await first.request('b-1', {topic: 'y', body: {n: 1}}), {kind: 'answered', body: 'answer of b'});
});

test('an entry VM with a single seed joins all others', async t => {
	const first = await createTestMesh(t, 'a');
	const second = await createTestMesh(t, 'b', {seeds: [first.getAddress()]});
	await waitForState(second, 'a-1', 'up');
	const third = await createTestMesh(t, 'c', {seeds: [second.getAddress()]});
	const isFull = (members: ReadonlyArray<{readonly state: string}>): boolean => members.filter(({state}) => state === 'up').length === 2;
	await Promise.all([first, second, third].map(async mesh => waitForMembers(mesh, isFull)));
	t.pass();
});

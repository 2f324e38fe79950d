import process from 'node:process';
import test from 'ava';
import {byteOrderMark} from '../connection/codec-texts.js';

// The bundle has no native decoder; read by the library when it is loaded.
process.env.CBOR_NATIVE_ACCELERATION_DISABLED = 'true';
const {createPlatformDeployment} = await import('./platform-deployment.js');

const specs = [
	`${byteOrderMark}seat;row;block;table\n${'12;C;north;4\n'.repeat(10)}`,
	byteOrderMark.repeat(40),
	`${'é'.repeat(40)}${byteOrderMark}`,
	'\0\r\n"\\/\u2028🎟'.repeat(60),
];

// Guards against tasks that start with another specification than the client's when its VM isn't the owner of the pool.
test('tasks start with the specification that was sent, whichever VM owns the pool', async t => {
	const started = new Map<string, Set<string | undefined>>();
	const deployment = await createPlatformDeployment({
		onStartOrder(task, spec) {
			const [job] = task.split('.');
			started.set(job!, (started.get(job!) ?? new Set()).add(spec));
		},
	});
	await deployment.waitUntilReady();
	for (const position of [0, 1]) {
		for (const [index, spec] of specs.entries()) {
			const id = `00000000000000${position}${index}`;
			t.like(await deployment.submit(position, id, {body: {spec}}), {status: 200, state: 'completed'});
			t.deepEqual([...started.get(id) ?? []], [spec]);
		}
	}

	await deployment.close();
});

// Guards against a job that one VM runs as it was sent and another one runs changed.
test('a specification that has no form in UTF-8 is refused by each VM, and nothing of it starts', async t => {
	let startCount = 0;
	const deployment = await createPlatformDeployment({
		onStartOrder() {
			startCount++;
		},
	});
	await deployment.waitUntilReady();
	for (const position of [0, 1]) {
		const res = await deployment.submit(position, `000000000000001${position}`, {body: {spec: 'seat;row\uD83D'}});
		t.is(res.status, 400);
	}

	t.is(startCount, 0);
	await deployment.close();
});

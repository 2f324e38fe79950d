import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Socket,
} from 'node:net';
import test from 'ava';
import {EventLoopProgress} from '../../src/connection/index.js';
import {systemClock} from '../../src/seams/index.js';
import {ManualClock, ManualEventLoop} from '../../src/testing/index.js';

function createFixture() {
	const clock = new ManualClock();
	const loop = new ManualEventLoop();
	return {clock, loop, progress: new EventLoopProgress({clock, callAfterPoll: loop.callAfterPoll})};
}

async function isSettled(promise: Promise<void>): Promise<boolean> {
	let isDone = false;
	void (async () => {
		await promise;
		isDone = true;
	})();

	await new Promise(resolve => {
		setImmediate(resolve);
	});
	return isDone;
}

test('input counts as read once two polls have followed its arrival', async t => {
	const {clock, loop, progress} = createFixture();
	await clock.advance(10);
	const waiting = progress.waitUntilRead();
	for (let turn = 0; turn < 3; turn++) {
		t.false(await isSettled(waiting));
		t.is(progress.getReadUntil(), 0);
		await clock.advance(1);
		await loop.runTurn();
	}

	t.true(await isSettled(waiting));
	t.is(progress.getReadUntil(), 11);
});

test('time in which the process is held between two polls proves nothing', async t => {
	const {clock, loop, progress} = createFixture();
	void progress.waitUntilRead();
	await loop.runTurn();
	await clock.advance(700);
	await loop.runTurn();
	await clock.advance(700);
	await loop.runTurn();
	t.is(progress.getReadUntil(), 0);
});

test('those who begin to wait in different turns share the polls', async t => {
	const {clock, loop, progress} = createFixture();
	const first = progress.waitUntilRead();
	await loop.runTurn();
	await clock.advance(5);
	const second = progress.waitUntilRead();
	await loop.runTurn();
	await loop.runTurn();
	t.true(await isSettled(first));
	t.false(await isSettled(second));
	await loop.runTurn();
	t.true(await isSettled(second));
	t.is(progress.getReadUntil(), 5);
});

test('the event loop may rest while nobody waits, and the progress is refreshed from time to time', async t => {
	const {clock, loop, progress} = createFixture();
	t.false(loop.isBusy());
	await clock.advance(100);
	t.true(loop.isBusy());
	for (let turn = 0; turn < 3; turn++) {
		await loop.runTurn();
	}

	t.false(loop.isBusy());
	t.is(progress.getReadUntil(), 100);
	progress.close();
	await clock.advance(1000);
	t.false(loop.isBusy());
});

// The test of the assumption on Node.js: its event loop reads the last bytes and the end behind them in different turns.
for (const isReset of [false, true]) {
	test(`the end of a real connection that arrived before a wait is known after it${isReset ? ', also of a reset one' : ''}`, async t => {
		const progress = new EventLoopProgress({clock: systemClock});
		const server = createServer({allowHalfOpen: true});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const callers: Socket[] = [];
		let openCount = 0;
		server.on('connection', socket => {
			openCount++;
			let isOpen = true;
			const end = (): void => {
				openCount -= isOpen ? 1 : 0;
				isOpen = false;
			};

			socket.on('data', () => {/* Read and not used. */}).once('end', end).once('error', end);
		});
		for (let count = 0; count < 20; count++) {
			const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
			await once(caller, 'connect');
			callers.push(caller);
		}

		while (openCount < callers.length) {
			await progress.waitUntilRead();
		}

		for (const caller of callers) {
			caller.write('request');
		}

		for (const caller of callers) {
			if (isReset) {
				caller.resetAndDestroy();
			} else {
				caller.end();
			}
		}

		await Promise.all(callers.map(async caller => isReset || once(caller, 'finish')));
		await progress.waitUntilRead();
		t.is(openCount, 0);
		progress.close();
		for (const caller of callers) {
			caller.destroy();
		}

		server.close();
	});
}

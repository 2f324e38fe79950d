import {type Socket} from 'node:net';
import test from 'ava';
import {FragmentedBodies} from '../../../src/connection/caller-memory/fragmented-bodies.js';

/** A connection that its request resumes all the time. */
class FakeSocket {
	isPaused = false;

	pause(): void {
		this.isPaused = true;
	}

	resume(): this {
		this.isPaused = false;
		return this;
	}
}

function setUp(maxCount: number) {
	const callbacks: Array<() => void> = [];
	const bodies = new FragmentedBodies({
		maxCount, defer(callback) {
			callbacks.push(callback);
		},
	});
	const fakes = Array.from({length: maxCount}, () => new FakeSocket());
	const sockets = fakes.map(fake => fake as unknown as Socket);
	/** Runs an iteration of the event loop; gets whether anything was to be done. */
	const iterate = (): boolean => callbacks.splice(0).map(callback => {
		callback();
		return true;
	}).includes(true);
	const getReading = () => fakes.flatMap(({isPaused}, position) => isPaused ? [] : [position]);
	return {
		bodies, fakes, sockets, iterate, getReading,
	};
}

// Guards against a process that reads all such bodies in each iteration of the event loop and nothing else in between.
test('bodies in small chunks are read one after another, with iterations for other input in between', t => {
	const {bodies, fakes, sockets, iterate, getReading} = setUp(3);
	for (const socket of sockets) {
		bodies.add(socket);
	}

	t.true(bodies.isFull());
	const turns: number[] = [];
	for (let iteration = 0; iteration < 200; iteration++) {
		for (const fake of fakes) {
			// A request resumes its connection as long as it could take more.
			fake.resume();
		}

		iterate();
		const reading = getReading();
		t.true(reading.length <= 1);
		for (const position of reading) {
			turns.push(position);
			bodies.endTurn(sockets[position]!);
		}
	}

	t.deepEqual(turns.slice(0, 6), [0, 1, 2, 0, 1, 2]);
	t.true(turns.length < 200 / 10);
});

test('a connection without new chunks keeps no other one from its turn, and removed ones are read as others', t => {
	const {bodies, fakes, sockets, iterate, getReading} = setUp(2);
	bodies.add(sockets[0]!);
	bodies.add(sockets[1]!);
	while (iterate()) {
		// Both turns begin, and nothing arrives.
	}

	t.deepEqual(getReading(), [0, 1]);
	bodies.endTurn(sockets[1]!);
	t.deepEqual(getReading(), [0]);
	bodies.remove(sockets[1]!);
	t.deepEqual(getReading(), [0, 1]);
	t.false(bodies.isFull());
	t.false(Object.hasOwn(fakes[1]!, 'resume'));
	while (iterate()) {
		// Nothing is left for the removed one.
	}

	bodies.endTurn(sockets[1]!);
	t.deepEqual(getReading(), [0, 1]);
});

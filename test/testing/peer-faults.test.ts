import {once} from 'node:events';
import {type Duplex} from 'node:stream';
import test, {type ExecutionContext} from 'ava';
import {listenTcp} from '../../src/connection/index.js';
import {PeerFaults} from '../../src/testing/index.js';

async function startPeerFaults(t: ExecutionContext) {
	const faults = new PeerFaults();
	const acceptedSockets: Duplex[] = [];
	const listener = await listenTcp('127.0.0.1:0', socket => {
		acceptedSockets.push(socket);
		socket.on('error', () => {/* Broken on purpose. */});
		socket.pipe(socket);
	});
	faults.setAddress(listener.address, 'b');
	t.teardown(async () => {
		faults.close();
		await listener.close();
	});
	// Only a connection attempt across a partition ends by its time limit; the others get enough time for a busy machine.
	const dial = async (from = 'a', limitMs = 60_000) => {
		const result = await faults.createDial(from)(listener.address, AbortSignal.timeout(limitMs));
		if (result.ok) {
			result.socket.on('error', () => {/* Broken on purpose. */});
		}

		return result;
	};

	return {faults, dial, taken: acceptedSockets};
}

async function echo(socket: Duplex, text: string): Promise<string> {
	socket.write(text);
	const [chunk] = await once(socket, 'data') as [Uint8Array];
	return new TextDecoder().decode(chunk);
}

test('bytes pass in both directions', async t => {
	const {dial} = await startPeerFaults(t);
	const result = await dial();
	t.is(result.ok ? await echo(result.socket, 'hello') : '', 'hello');
});

test('a partition silences connections and prevents new ones until it ends', async t => {
	const {dial, faults} = await startPeerFaults(t);
	const result = await dial();
	t.true(result.ok);
	const socket = result.ok ? result.socket : undefined;
	await echo(socket!, 'hello');
	socket!.on('data', () => {
		t.fail('a partitioned connection carried bytes');
	});
	faults.partition((from, to) => from === 'a' && to === 'b');
	socket!.write('lost');
	const refused = await dial('a', 20);
	t.like(refused, {ok: false, reason: 'unreachable'});
	const other = await dial('c');
	t.is(other.ok ? await echo(other.socket, 'still') : '', 'still');
	const closed = once(socket!, 'close');
	faults.heal();
	await closed;
	const healed = await dial();
	t.is(healed.ok ? await echo(healed.socket, 'again') : '', 'again');
});

test('silenced connections stay silent while new ones work', async t => {
	const {dial, faults, taken} = await startPeerFaults(t);
	const result = await dial();
	t.is(result.ok ? await echo(result.socket, 'hello') : '', 'hello');
	faults.silence();
	const socket = result.ok ? result.socket : undefined;
	socket!.write('lost');
	const fresh = await dial();
	t.is(fresh.ok ? await echo(fresh.socket, 'new') : '', 'new');
	taken[0]!.destroy();
	t.false(socket!.destroyed);
});

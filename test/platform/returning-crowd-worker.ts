/**
 * Worker thread of a {@link ReturningCrowd}, so that the stand-ins in the test's thread are not held up by it.
 */
import {connect, type Socket} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';
import {type CrowdSettings, type CrowdState} from './returning-crowd.js';

const {ip, port, connectionCount, bytes, maxAttempts} = workerData as CrowdSettings;
const sockets = new Set<Socket>();
const state = {attempts: 0, refusals: 0, closed: 0};
let isClosed = false;

for (let position = 0; position < connectionCount; position++) {
	open();
}

parentPort!.on('message', message => {
	if (message === 'close') {
		isClosed = true;
		for (const socket of sockets) {
			socket.destroy();
		}

		parentPort!.close();
		return;
	}

	parentPort!.postMessage(state satisfies CrowdState);
});

/** Opens a connection, and another one once it is closed. */
function open(): void {
	if (isClosed || state.attempts >= maxAttempts) {
		return;
	}

	state.attempts++;
	const socket = connect({host: ip, port});
	sockets.add(socket);
	socket.on('error', () => {/* The receiver may close the connection. */});
	socket.on('data', (answer: Uint8Array) => {
		state.refusals += Number(String(answer).startsWith('HTTP/1.1 503'));
	});
	socket.once('close', () => {
		sockets.delete(socket);
		state.closed++;
		setImmediate(open);
	});
	socket.write(bytes);
}

/**
 * Upstream stand-in on a worker thread: a TCP server that answers every request head immediately.
 */
import {type AddressInfo, createServer} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

const response = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 17\r\n\r\n{"status":"done"}';
const headEnd = '\r\n\r\n';

/** Idle time in milliseconds after which a connection becomes silent, as if a middlebox had dropped its state; 0: never. */
const {forgetIdleMs} = workerData as {readonly forgetIdleMs: number};

const server = createServer(socket => {
	let buffered = '';
	let lastUse = performance.now();
	let isSilent = false;
	socket.setNoDelay(true);
	socket.setEncoding('latin1');
	socket.on('error', () => {
		socket.destroy();
	});
	socket.on('data', (chunk: string) => {
		const now = performance.now();
		isSilent ||= forgetIdleMs > 0 && now - lastUse > forgetIdleMs;
		lastUse = now;
		if (isSilent) {
			return;
		}

		buffered += chunk;
		let end = buffered.indexOf(headEnd);
		while (end !== -1) {
			buffered = buffered.slice(end + headEnd.length);
			socket.write(response);
			end = buffered.indexOf(headEnd);
		}
	});
});
server.listen(0, '127.0.0.1', () => {
	parentPort!.postMessage((server.address() as AddressInfo).port);
});

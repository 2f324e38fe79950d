/**
 * The parser that Node's HTTP server attaches to a connection. It handles a read of 64 KiB to its end, whatever becomes of the connection meanwhile.
 */
import {type Socket} from 'node:net';

type Parser = {
	[callback: number]: unknown;
	readonly constructor: {readonly kOnBody?: number};
	onIncoming?: () => number;
};

type ParsedSocket = Socket & {readonly parser?: Parser};

/**
 * Stops the reading of a connection once the current read is parsed. Its request would resume it as soon as it could take more.
 * @param socket - Connection.
 */
export function suspendReading(socket: Socket): void {
	socket.pause();
	socket.resume = () => socket;
}

/**
 * Reads a connection again.
 * @param socket - Connection.
 */
export function resumeReading(socket: Socket): void {
	Reflect.deleteProperty(socket, 'resume');
	socket.resume();
}

/**
 * Ends the parsing of the current read at the next request: otherwise Node creates all its requests, some thousand for 64 KiB, and keeps them until the connection is closed.
 * @param socket - Connection that is closed.
 */
export function stopRequests(socket: Socket): void {
	const {parser}: ParsedSocket = socket;
	if (parser?.onIncoming) {
		// The parser fails on any other result than those of Node's own handler.
		parser.onIncoming = () => -1;
	}
}

/**
 * Discards the rest of a body within the parser, which hands over no chunk that it has no callback for. Node uses the parser again for other connections.
 * @param socket - Connection whose request was refused.
 * @returns Function to call when the connection is closed; `undefined` if the parser cannot discard.
 */
export function discardBody(socket: Socket): (() => void) | undefined {
	const {parser}: ParsedSocket = socket;
	const position = parser?.constructor.kOnBody;
	if (parser === undefined || parser === null || position === undefined) {
		return undefined;
	}

	const callback = parser[position];
	parser[position] = undefined;
	return () => {
		parser[position] = callback;
	};
}

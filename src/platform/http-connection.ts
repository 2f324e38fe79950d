/**
 * A connection to a host, with one call at a time.
 */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {AnswerReader, type HttpAnswer} from './answer-reader.js';

/** How a call over a connection ended. */
export type ConnectionOutcome =
	| {readonly kind: 'answered'; readonly answer: HttpAnswer}
	| {readonly kind: 'lost'; readonly err: Error; readonly status: number | undefined};

/** Events of an {@link HttpConnection}. */
export type HttpConnectionEvents = {
	readonly onOpen: (connection: HttpConnection) => void;
	/** A call was answered; the connection can be used again unless the host closes it. */
	readonly onAnswer: (connection: HttpConnection, answer: HttpAnswer) => void;
	/** The connection has closed, for good; a call on it has no answer. */
	readonly onClosed: (connection: HttpConnection, err: Error, status: number | undefined) => void;
};

/** Options of {@link HttpConnection}. */
export type HttpConnectionOptions = {
	readonly host: string;
	readonly port: number;
	readonly maxAnswerBytes: number;
	readonly events: HttpConnectionEvents;
};

const readBufferBytes = 65_536;

/** Shared by all connections: each read is handled before the next one. */
const readBuffer = Buffer.allocUnsafeSlow(readBufferBytes);

/** Sends requests and reads their answers; the end of a call by time is up to its user. */
export class HttpConnection {
	readonly #options: HttpConnectionOptions;
	readonly #socket: Socket;
	#reader: AnswerReader | undefined;
	#isClosed = false;

	constructor(options: HttpConnectionOptions) {
		this.#options = options;
		this.#socket = connect({
			host: options.host, port: options.port, noDelay: true,
			onread: {
				buffer: readBuffer,
				callback: length => {
					this.#handleBytes(readBuffer.toString('latin1', 0, length));
					return true;
				},
			},
		});
		this.#socket.on('connect', () => {
			options.events.onOpen(this);
		});
		this.#socket.on('end', () => {
			this.#handleEnd();
		});
		this.#socket.on('error', err => {
			this.close(err);
		});
		this.#socket.on('close', () => {
			this.#handleEnd();
		});
	}

	/**
	 * Sends a request once; a connection that is not established yet sends it then.
	 * @param request - Request.
	 */
	send(request: string): void {
		this.#reader = new AnswerReader(this.#options.maxAnswerBytes);
		this.#socket.write(request);
	}

	/**
	 * Closes the connection.
	 * @param err - Reason for a call on it to have no answer.
	 */
	close(err: Error): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#socket.destroy();
		this.#options.events.onClosed(this, err, this.#reader?.status);
	}

	#handleBytes(bytes: string): void {
		if (this.#isClosed) {
			return;
		}

		if (this.#reader === undefined) {
			this.close(new Error('an answer without a request'));
			return;
		}

		const answer = this.#reader.readBytes(bytes);
		if (answer instanceof Error) {
			this.close(answer);
		} else if (answer !== undefined) {
			this.#handleAnswer(answer);
		}
	}

	#handleEnd(): void {
		const answer = this.#isClosed ? undefined : this.#reader?.readEnd();
		if (answer === undefined) {
			this.close(new Error('other side closed'));
		} else {
			this.#handleAnswer(answer);
		}
	}

	#handleAnswer(answer: HttpAnswer): void {
		this.#reader = undefined;
		this.#options.events.onAnswer(this, answer);
	}
}

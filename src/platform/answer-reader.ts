/**
 * Reads answers of HTTP/1.1 from what arrives over a connection.
 */
import {Buffer} from 'node:buffer';

/** An answer. */
export type HttpAnswer = {
	readonly status: number;
	readonly text: string;
	/** Time for which the host keeps the idle connection, in milliseconds; 0 if it closes it at once, `Infinity` if it names none. */
	readonly keepAliveMs: number;
};

type Head = {
	readonly status: number;
	readonly isChunked: boolean;
	/** Length of the body, in bytes; `undefined` if a chunk of length 0 or the end of the connection ends it. */
	readonly length: number | undefined;
	readonly keepAliveMs: number;
};

/** Body of an answer; `end` is the position after it. */
type Body = {readonly bytes: string; readonly end: number};

/** Maximum size of a head, in bytes. */
const maxHeadBytes = 16_384;

const headEnd = '\r\n\r\n';
const lineEnd = '\r\n';
const statusLinePattern = /^HTTP\/1\.(?<minor>[01]) (?<status>[1-5]\d\d)(?: |$)/v;
const lengthPattern = /^\d{1,15}$/v;
const chunkLinePattern = /^(?<length>[\da-fA-F]{1,8})[ \t]*(?:;|$)/v;
const keepAlivePattern = /timeout=(?<seconds>\d{1,6})/v;
const nonAsciiPattern = /[^\0-\u007F]/v;

/** Reads one answer. Bytes are passed as strings of characters from U+0000 to U+00FF, which are cheaper to search and to split than buffers. */
export class AnswerReader {
	readonly #maxBodyBytes: number;
	#pending = '';
	#head: Head | undefined;

	constructor(maxBodyBytes: number) {
		this.#maxBodyBytes = maxBodyBytes;
	}

	/** Status of the answer, once its head was read. */
	get status(): number | undefined {
		return this.#head?.status;
	}

	/**
	 * Reads the next bytes.
	 * @param bytes - Bytes that arrived.
	 * @returns The answer; `undefined` as long as it is incomplete; an error if it cannot be read.
	 */
	readBytes(bytes: string): HttpAnswer | Error | undefined {
		this.#pending = this.#pending === '' ? bytes : this.#pending + bytes;
		while (this.#head === undefined) {
			const end = this.#pending.indexOf(headEnd);
			if ((end === -1 ? this.#pending.length : end) > maxHeadBytes) {
				return new Error(`a head of more than ${maxHeadBytes} bytes`);
			}

			if (end === -1) {
				return undefined;
			}

			const head = parseHead(this.#pending.slice(0, end));
			if (head instanceof Error) {
				return head;
			}

			this.#pending = this.#pending.slice(end + headEnd.length);
			// Provisional answers precede the final one.
			this.#head = head.status < 200 ? undefined : head;
		}

		const body = this.#readBody(this.#head);
		if (body === undefined || body instanceof Error) {
			return body;
		}

		// Further bytes belong to nothing that was requested.
		const {status, keepAliveMs} = this.#head;
		return {status, text: decodeText(body.bytes), keepAliveMs: body.end === this.#pending.length ? keepAliveMs : 0};
	}

	/** Gets the answer after the end of the connection; `undefined` if it is incomplete. */
	readEnd(): HttpAnswer | undefined {
		const head = this.#head;
		return head === undefined || head.isChunked || head.length !== undefined ? undefined : {status: head.status, text: decodeText(this.#pending), keepAliveMs: 0};
	}

	#readBody({isChunked, length}: Head): Body | Error | undefined {
		if (isChunked) {
			return this.#readChunks();
		}

		if ((length ?? this.#pending.length) > this.#maxBodyBytes) {
			return this.#createSizeError();
		}

		return length === undefined || this.#pending.length < length ? undefined : {bytes: this.#pending.slice(0, length), end: length};
	}

	#readChunks(): Body | Error | undefined {
		const text = this.#pending;
		let bytes = '';
		for (let start = 0; ;) {
			const end = text.indexOf(lineEnd, start);
			if ((end === -1 ? text.length : end) - start > maxHeadBytes) {
				return new Error(`the line of a chunk of more than ${maxHeadBytes} bytes`);
			}

			if (end === -1) {
				return undefined;
			}

			const digits = chunkLinePattern.exec(text.slice(start, end))?.groups!.length;
			if (digits === undefined) {
				return new Error('a chunk without length');
			}

			const length = Number.parseInt(digits, 16);
			start = end + lineEnd.length;
			if (length === 0) {
				return this.#skipTrailers(start, bytes);
			}

			if (bytes.length + length > this.#maxBodyBytes) {
				return this.#createSizeError();
			}

			if (text.length < start + length + lineEnd.length) {
				return undefined;
			}

			bytes += text.slice(start, start + length);
			start += length + lineEnd.length;
			if (!text.endsWith(lineEnd, start)) {
				return new Error('a chunk without end');
			}
		}
	}

	/** Skips the lines after the last chunk, up to an empty one. */
	#skipTrailers(from: number, bytes: string): Body | Error | undefined {
		for (let start = from; start - from <= maxHeadBytes;) {
			const end = this.#pending.indexOf(lineEnd, start);
			if (end === start) {
				return {bytes, end: end + lineEnd.length};
			}

			if (end === -1 && this.#pending.length - from <= maxHeadBytes) {
				return undefined;
			}

			start = end === -1 ? Infinity : end + lineEnd.length;
		}

		return new Error(`trailers of more than ${maxHeadBytes} bytes`);
	}

	#createSizeError(): Error {
		return new Error(`an answer of more than ${this.#maxBodyBytes} bytes`);
	}
}

/** Decodes UTF-8; the common bodies are ASCII. */
function decodeText(bytes: string): string {
	return nonAsciiPattern.test(bytes) ? Buffer.from(bytes, 'latin1').toString() : bytes;
}

function parseHead(text: string): Head | Error {
	const [statusLine, ...lines] = text.split(lineEnd);
	const groups = statusLinePattern.exec(statusLine!)?.groups;
	if (groups === undefined) {
		return new Error('an answer without status line');
	}

	const status = Number(groups.status);
	let length: number | undefined;
	let isChunked = false;
	let isKept = groups.minor === '1';
	let keepAliveMs = Infinity;
	for (const line of lines) {
		const colon = line.indexOf(':');
		const value = line.slice(colon + 1).trim().toLowerCase();
		switch (line.slice(0, Math.max(colon, 0)).toLowerCase()) {
			case 'content-length': {
				if (!lengthPattern.test(value) || (length !== undefined && length !== Number(value))) {
					return new Error('an answer with an odd length');
				}

				length = Number(value);
				break;
			}

			case 'transfer-encoding': {
				if (isChunked || value !== 'chunked') {
					return new Error('an answer with an odd encoding');
				}

				isChunked = true;
				break;
			}

			case 'connection': {
				isKept = !value.includes('close') && (isKept || value.includes('keep-alive'));
				break;
			}

			case 'keep-alive': {
				keepAliveMs = Number(keepAlivePattern.exec(value)?.groups!.seconds ?? Infinity) * 1000;
				break;
			}

			default: {
				break;
			}
		}
	}

	if (isChunked && length !== undefined) {
		return new Error('an answer with a length and an encoding');
	}

	const hasBody = status !== 204 && status !== 304;
	return {
		status, isChunked: isChunked && hasBody, length: hasBody ? length : 0, keepAliveMs: isKept && status !== 101 ? keepAliveMs : 0,
	};
}

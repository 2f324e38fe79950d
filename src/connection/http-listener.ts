/**
 * An HTTP listener with limits on connections, heads and times, and with a graceful end.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type RequestListener, type Server, type ServerOptions, type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {type Socket} from 'node:net';
import {type CallerAnswer, type Header} from '../request/index.js';
import {type Clock, systemClock} from '../seams/index.js';
import {formatAddress, parseAddress} from './tcp-transport.js';
import {minTlsVersion, type TlsMaterial, type TlsStore} from './tls-store.js';

/** Takes one request and writes its answer. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** Limits of an {@link HttpListener}. */
export type HttpLimits = {
	readonly maxConnections?: number;
	readonly maxHeaderBytes?: number;
	/** Time limit for the head of a request in milliseconds. */
	readonly headTimeoutMs?: number;
	/** Time limit for a whole request in milliseconds. */
	readonly requestTimeoutMs?: number;
	/** Time after which an idle connection is closed, in milliseconds. */
	readonly idleTimeoutMs?: number;
};

/** Options of an {@link HttpListener}. */
export type HttpListenerOptions = HttpLimits & {
	/** Address and port, `127.0.0.1:0` for any free port. */
	readonly address: string;
	readonly handler: HttpHandler;
	/** Material for TLS; absent: plain HTTP. */
	readonly tls?: TlsStore;
	/** Whether a connection without a valid certificate is refused where the material names authorities; default true. */
	readonly requiresClientCertificate?: boolean;
	readonly clock?: Clock;
};

/** Counts of an {@link HttpListener}. */
export type HttpCounters = {
	readonly connections: number;
	/** Requests that were not valid HTTP, too slow, or with too large a head. */
	readonly malformed: number;
	/** Connections closed because of the limit. */
	readonly dropped: number;
};

/** Time between looks for idle connections while the listener closes, in milliseconds. */
const idleCheckMs = 20;
const defaultMaxConnections = 10_000;
const defaultMaxHeaderBytes = 16_384;
const defaultHeadTimeoutMs = 10_000;
const defaultRequestTimeoutMs = 60_000;
const defaultIdleTimeoutMs = 30_000;
const connectionCheckMs = 1000;
/** Largest body that is written together with its head. */
const maxJoinedBodyBytes = 4096;

/** Statuses by which Node's parser faults are answered. */
const faultStatuses: Readonly<Record<string, string>> = {
	/* eslint-disable @typescript-eslint/naming-convention -- Node's names. */
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
	/* eslint-enable @typescript-eslint/naming-convention */
};

/** Listens for HTTP requests. */
export class HttpListener {
	readonly #server: Server;
	readonly #clock: Clock;
	#address: string;
	#isStopping = false;
	#malformed = 0;
	#dropped = 0;
	#connections = 0;

	/** @internal */
	constructor(options: HttpListenerOptions) {
		this.#address = options.address;
		this.#clock = options.clock ?? systemClock;
		this.#server = createHttpServer(options, {
			maxHeaderSize: options.maxHeaderBytes ?? defaultMaxHeaderBytes,
			headersTimeout: options.headTimeoutMs ?? defaultHeadTimeoutMs,
			requestTimeout: options.requestTimeoutMs ?? defaultRequestTimeoutMs,
			keepAliveTimeout: options.idleTimeoutMs ?? defaultIdleTimeoutMs,
			connectionsCheckingInterval: connectionCheckMs,
			noDelay: true,
		}, (req, res) => {
			if (this.#isStopping) {
				res.shouldKeepAlive = false;
			}

			options.handler(req, res);
		});
		this.#server.maxConnections = options.maxConnections ?? defaultMaxConnections;
		this.#server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => {
			this.#malformed++;
			answerMalformed(err, socket);
		});
		this.#server.on('drop', () => {
			this.#dropped++;
		});
		this.#server.on('connection', (socket: Socket) => {
			this.#connections++;
			socket.once('close', () => {
				this.#connections--;
			});
		});
	}

	/** Starts to listen; rejects when the address cannot be used. */
	async open(): Promise<void> {
		const {host, port} = parseAddress(this.#address);
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host, port}, () => {
				this.#server.off('error', reject);
				this.#address = formatAddress(this.#server.address());
				resolve();
			});
		});
	}

	/** Gets the address and port that it listens on, or listened on. */
	getAddress(): string {
		return this.#address;
	}

	/** Gets the counts so far. */
	getCounters(): HttpCounters {
		return {connections: this.#connections, malformed: this.#malformed, dropped: this.#dropped};
	}

	/** Closes each connection with its next answer, so that callers connect elsewhere; new ones are still taken. */
	drain(): void {
		this.#isStopping = true;
	}

	/** Stops listening, lets the requests in progress end and closes all connections. */
	async close(): Promise<void> {
		this.#isStopping = true;
		// A connection whose request came before the stop is idle only once that request is answered.
		const timer = this.#clock.setRepeatingTimer(() => {
			this.#server.closeIdleConnections();
		}, idleCheckMs);
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeIdleConnections();
		});
		timer.close();
	}

	/** Closes all connections at once, as when the process dies. */
	async abort(): Promise<void> {
		const closed = this.close();
		this.#server.closeAllConnections();
		await closed;
	}
}

/**
 * Creates a listener that is ready for requests.
 * @param options - Address, handler and limits.
 */
export async function createHttpListener(options: HttpListenerOptions): Promise<HttpListener> {
	const listener = new HttpListener(options);
	await listener.open();
	return listener;
}

/**
 * Writes a whole answer.
 * @param req - Request that is answered.
 * @param res - Where to write to.
 * @param answer - Answer to write.
 * @param moreHeaders - Headers besides those of the answer.
 */
export function writeAnswer(req: IncomingMessage, res: ServerResponse, answer: CallerAnswer, moreHeaders: readonly Header[] = []): void {
	if (res.destroyed || res.headersSent) {
		return;
	}

	const {status, body} = answer;
	const isBodyless = req.method === 'HEAD' || status === 204 || status === 304;
	const headers = [...answer.headers, ...moreHeaders].flat();
	if (!isBodyless) {
		headers.push('Content-Length', String(body.length));
	}

	res.writeHead(status, headers);
	if (isBodyless) {
		res.end();
	} else if (body.length <= maxJoinedBodyBytes) {
		// A string is joined with the head into one write.
		res.end(Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('latin1'), 'latin1');
	} else {
		res.end(body);
	}
}

function createHttpServer({tls, requiresClientCertificate = true}: HttpListenerOptions, serverOptions: ServerOptions, handler: RequestListener): Server {
	if (tls === undefined) {
		return createServer(serverOptions, handler);
	}

	const server = createTlsServer({
		...serverOptions,
		...tls.getMaterial(),
		minVersion: minTlsVersion,
		handshakeTimeout: serverOptions.headersTimeout,
		requestCert: tls.hasAuthorities,
		rejectUnauthorized: tls.hasAuthorities && requiresClientCertificate,
	}, handler);
	const setContext = (material: TlsMaterial): void => {
		server.setSecureContext({...material, minVersion: minTlsVersion});
	};

	tls.addListener(setContext);
	server.once('close', () => {
		tls.removeListener(setContext);
	});
	return server;
}

function answerMalformed(err: NodeJS.ErrnoException, socket: Socket): void {
	const isHttpFault = err.code?.startsWith('HPE_') === true || err.code?.startsWith('ERR_HTTP_') === true;
	if (!isHttpFault || !socket.writable) {
		socket.destroy();
		return;
	}

	const status = faultStatuses[err.code ?? ''] ?? '400 Bad Request';
	socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}

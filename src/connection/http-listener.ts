/**
 * An HTTP or HTTPS listener with connection, header and time limits and graceful shutdown.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type RequestListener, type Server, type ServerOptions, type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {type Socket} from 'node:net';
import {type CallerAnswer, type Header} from '../request/index.js';
import {type Clock, systemClock} from '../seams/index.js';
import {type CallerMemory} from './caller-memory/index.js';
import {formatAddress, parseAddress} from './tcp-transport.js';
import {minTlsVersion, type TlsMaterial, type TlsStore} from './tls-store.js';

/** Handles one request and writes its answer. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** Limits of an {@link HttpListener}. */
export type HttpLimits = {
	readonly maxConnections?: number;
	readonly maxHeaderBytes?: number;
	/** Time limit for receiving the head of a request in milliseconds. */
	readonly headTimeoutMs?: number;
	/** Time limit for receiving a whole request in milliseconds. */
	readonly requestTimeoutMs?: number;
	/** Time after which an idle connection is closed, in milliseconds. */
	readonly idleTimeoutMs?: number;
};

/** Options of an {@link HttpListener}. */
export type HttpListenerOptions = HttpLimits & {
	/** Address and port; port 0 lets the operating system choose a port. */
	readonly address: string;
	readonly handler: HttpHandler;
	/** TLS material; plain HTTP when absent. */
	readonly tls?: TlsStore;
	/** Whether connections without a valid client certificate are rejected if the material includes authorities; default true. */
	readonly requiresClientCertificate?: boolean;
	/** Account of the memory of incomplete requests, which also refuses connections; none by default. */
	readonly memory?: CallerMemory;
	readonly clock?: Clock;
};

/** Counters of an {@link HttpListener}. */
export type HttpCounters = {
	/** Open connections. */
	readonly connections: number;
	/** Requests that were not valid HTTP, timed out, or exceeded the header limit. */
	readonly malformed: number;
	/** Connections closed on arrival because of the connection limit. */
	readonly dropped: number;
};

/** Interval at which idle connections are closed while the listener closes, in milliseconds. */
const idleCheckIntervalMs = 20;
/** Maximum number of connections of a listener where no other one is given. */
export const defaultMaxConnections = 10_000;
const defaultMaxHeaderBytes = 16_384;
const defaultHeadTimeoutMs = 10_000;
const defaultRequestTimeoutMs = 60_000;
const defaultIdleTimeoutMs = 30_000;
const timeoutCheckIntervalMs = 1000;
/** Maximum size in bytes of a body that is written together with its head. */
const maxJoinedBodyBytes = 4096;

/** Status lines sent for errors of Node's HTTP server, by error code. */
const parseErrorStatuses: Readonly<Record<string, string>> = {
	/* eslint-disable @typescript-eslint/naming-convention -- Error codes of Node. */
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
	/* eslint-enable @typescript-eslint/naming-convention */
};

/** Listens for HTTP requests. */
export class HttpListener {
	readonly #server: Server;
	readonly #clock: Clock;
	readonly #sockets = new Set<Socket>();
	/** Connections whose parser still has an earlier limit of the head. */
	#outdated: ReadonlySet<Socket> = new Set();
	readonly #backlog: number | undefined;
	#maxHeaderBytes: number;
	#address: string;
	#isStopping = false;
	#malformed = 0;
	#dropped = 0;
	#connections = 0;

	/** @internal */
	constructor(options: HttpListenerOptions) {
		this.#address = options.address;
		this.#clock = options.clock ?? systemClock;
		this.#maxHeaderBytes = options.maxHeaderBytes ?? defaultMaxHeaderBytes;
		this.#backlog = options.memory?.getMaxQueuedConnections();
		this.#server = createHttpServer(options, {
			maxHeaderSize: this.#maxHeaderBytes,
			headersTimeout: options.headTimeoutMs ?? defaultHeadTimeoutMs,
			requestTimeout: options.requestTimeoutMs ?? defaultRequestTimeoutMs,
			keepAliveTimeout: options.idleTimeoutMs ?? defaultIdleTimeoutMs,
			connectionsCheckingInterval: timeoutCheckIntervalMs,
			noDelay: true,
		}, (req, res) => {
			if (this.#isStopping || (this.#outdated.size > 0 && this.#outdated.has(req.socket))) {
				res.shouldKeepAlive = false;
			}

			if (isAdmitted(req, res, options.memory)) {
				options.handler(req, res);
			}
		});
		this.#server.maxConnections = options.memory?.getMaxConnections() ?? options.maxConnections ?? defaultMaxConnections;
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
		// The requests of a TLS listener name the encrypted connection.
		this.#server.on(options.tls === undefined ? 'connection' : 'secureConnection', (socket: Socket) => {
			this.#sockets.add(socket);
			options.memory?.addConnection(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
				options.memory?.removeConnection(socket);
			});
		});
	}

	/**
	 * Changes limits while the listener is open. A limit of the head applies to connections that are opened later, and open ones are closed after their next answer.
	 * @param limits - Limits; the default applies to those that are not given.
	 */
	setLimits({maxHeaderBytes = defaultMaxHeaderBytes, headTimeoutMs = defaultHeadTimeoutMs, idleTimeoutMs = defaultIdleTimeoutMs}: HttpLimits): void {
		const server: Server & {maxHeaderSize?: number} = this.#server;
		// Node's server reads these properties for each connection, at each check and after each answer.
		server.maxHeaderSize = maxHeaderBytes;
		if (maxHeaderBytes !== this.#maxHeaderBytes) {
			this.#maxHeaderBytes = maxHeaderBytes;
			this.#outdated = new Set(this.#sockets);
		}

		server.headersTimeout = headTimeoutMs;
		server.keepAliveTimeout = idleTimeoutMs;
	}

	/** Starts listening; rejects when the address cannot be used. */
	async open(): Promise<void> {
		const {host, port} = parseAddress(this.#address);
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host, port, backlog: this.#backlog}, () => {
				this.#server.off('error', reject);
				this.#address = formatAddress(this.#server.address());
				resolve();
			});
		});
	}

	/** Gets the address and port of the listener, also after it was closed. */
	getAddress(): string {
		return this.#address;
	}

	/** Gets the current counters. */
	getCounters(): HttpCounters {
		return {connections: this.#connections, malformed: this.#malformed, dropped: this.#dropped};
	}

	/** Closes each connection after its next answer, so that callers reconnect elsewhere; new connections are still accepted. */
	drain(): void {
		this.#isStopping = true;
	}

	/** Stops listening, waits for the requests in progress and closes all connections. */
	async close(): Promise<void> {
		this.#isStopping = true;
		// A connection that is busy when the listener stops becomes idle only once its request is answered.
		const timer = this.#clock.setRepeatingTimer(() => {
			this.#server.closeIdleConnections();
		}, idleCheckIntervalMs);
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeIdleConnections();
		});
		timer.close();
	}

	/** Closes the listener and all connections without waiting for requests in progress, as if the process had died. */
	async abort(): Promise<void> {
		const closed = this.close();
		this.#server.closeAllConnections();
		await closed;
	}
}

/**
 * Creates a listener and starts it; rejects when the address cannot be used.
 * @param options - Address, handler and limits.
 */
export async function createHttpListener(options: HttpListenerOptions): Promise<HttpListener> {
	const listener = new HttpListener(options);
	await listener.open();
	return listener;
}

/**
 * Writes a complete answer; does nothing if the connection is closed or an answer was already started.
 * @param req - Request that is answered.
 * @param res - Response to write to.
 * @param answer - Answer to write.
 * @param additionalHeaders - Headers in addition to those of the answer.
 */
export function writeAnswer(req: IncomingMessage, res: ServerResponse, answer: CallerAnswer, additionalHeaders: readonly Header[] = []): void {
	if (res.destroyed || res.headersSent) {
		return;
	}

	const {status, body} = answer;
	const isBodyless = req.method === 'HEAD' || status === 204 || status === 304;
	const headers = [...answer.headers, ...additionalHeaders].flat();
	if (!isBodyless) {
		headers.push('Content-Length', String(body.length));
	}

	res.writeHead(status, headers);
	if (isBodyless) {
		res.end();
	} else if (body.length <= maxJoinedBodyBytes) {
		// Node joins a string body and the head into one write.
		res.end(Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('latin1'), 'latin1');
	} else {
		res.end(body);
	}
}

/** Counts a request until its answer is sent; returns false if its connection was refused. */
function isAdmitted(req: IncomingMessage, res: ServerResponse, memory: CallerMemory | undefined): boolean {
	if (memory === undefined) {
		return true;
	}

	const {socket} = req;
	if (!memory.beginRequest(socket)) {
		return false;
	}

	res.once('close', () => {
		memory.endRequest(socket);
	});
	return true;
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
	const isHttpError = err.code?.startsWith('HPE_') === true || err.code?.startsWith('ERR_HTTP_') === true;
	if (!isHttpError || !socket.writable) {
		socket.destroy();
		return;
	}

	const status = parseErrorStatuses[err.code ?? ''] ?? '400 Bad Request';
	socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}

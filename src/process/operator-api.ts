/**
 * The HTTP interface for operators, which has its own listener.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {writeAnswer} from '../connection/index.js';
import {type CallerAnswer, createJsonAnswer, createProblemAnswer} from '../request/index.js';
import {type EventLog} from './events.js';

/** The metrics as text, with its content type. */
export type MetricsText = {
	readonly contentType: string;
	readonly text: string;
};

/** Options of an {@link OperatorApi}. */
export type OperatorApiOptions = {
	readonly events: EventLog;
	/** Whether the process accepts new work. */
	readonly isReady: () => boolean;
	readonly getStatus: () => unknown;
	readonly getMetrics: () => Promise<MetricsText>;
	/** Starts the graceful stop. */
	readonly startDrain: () => void;
	/** Whether a request is authorised; by default all are. */
	readonly isAllowed?: (req: IncomingMessage) => boolean;
};

const maxEventsPerAnswer = 20_000;
const publicPaths: ReadonlySet<string> = new Set(['/healthz', '/readyz']);

/** Handles operators' requests and the load balancer's health checks. */
export class OperatorApi {
	readonly #options: OperatorApiOptions;

	constructor(options: OperatorApiOptions) {
		this.#options = options;
	}

	/**
	 * Handles one request. The promise never rejects.
	 * @param req - Request of the operator.
	 * @param res - Response to write the answer to.
	 */
	async handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
		let answer: CallerAnswer;
		try {
			answer = await this.#answer(req);
		} catch (err) {
			answer = createProblemAnswer('internal-error', {detail: (err as Error).message});
		}

		writeAnswer(req, res, answer);
	}

	async #answer(req: IncomingMessage): Promise<CallerAnswer> {
		const url = URL.parse(req.url ?? '', 'http://operator');
		if (url === null) {
			return createProblemAnswer('not-found', {detail: 'no such resource'});
		}

		const isAllowed = publicPaths.has(url.pathname) || (this.#options.isAllowed?.(req) ?? true);
		if (!isAllowed) {
			return {...createJsonAnswer(401, {title: 'Not authorised.'}), headers: [['WWW-Authenticate', 'Bearer']]};
		}

		if (req.method === 'POST' && url.pathname === '/v1/drain') {
			this.#options.startDrain();
			return createJsonAnswer(202, {isStopping: true});
		}

		if (req.method !== 'GET' && req.method !== 'HEAD') {
			return createProblemAnswer('method-not-allowed', {detail: `${req.method ?? ''} is not allowed here`});
		}

		return this.#answerRead(url);
	}

	async #answerRead({pathname, searchParams}: URL): Promise<CallerAnswer> {
		switch (pathname) {
			case '/healthz': {
				return createJsonAnswer(200, {isAlive: true});
			}

			case '/readyz': {
				const isReady = this.#options.isReady();
				return createJsonAnswer(isReady ? 200 : 503, {isReady});
			}

			case '/metrics': {
				const {contentType, text} = await this.#options.getMetrics();
				return {status: 200, headers: [['Content-Type', contentType]], body: Buffer.from(text)};
			}

			case '/v1/status': {
				return createJsonAnswer(200, this.#options.getStatus());
			}

			case '/v1/events': {
				return this.#answerEvents(searchParams);
			}

			default: {
				return createProblemAnswer('not-found', {detail: 'no such resource'});
			}
		}
	}

	/** Answers with the events from sequence number `from` on, filtered by `subject` if it is given. */
	#answerEvents(searchParams: URLSearchParams): CallerAnswer {
		const from = Number(searchParams.get('from') ?? 0);
		if (!Number.isSafeInteger(from) || from < 0) {
			return createProblemAnswer('invalid-request', {detail: 'from: expected a whole number of at least 0'});
		}

		const subject = searchParams.get('subject');
		const events = this.#options.events.getEvents(from)
			.filter(event => subject === null || event.subject === subject)
			.slice(0, maxEventsPerAnswer);
		return createJsonAnswer(200, {events});
	}
}

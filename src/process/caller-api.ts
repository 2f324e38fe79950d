/**
 * The HTTP interface for callers.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	type CallerMemory, type CallerMemoryCounters, readRequestBody, type RequestBody, writeAnswer,
} from '../connection/index.js';
import {
	type CallerAnswer, createJsonAnswer, createProblemAnswer, type JobId, type ProblemName, type SubmissionContent,
} from '../request/index.js';
import {
	type CallerPreferences, type CallerResource, type ParseResult, getRequestHeaders, parsePreferences, parseResource,
} from './caller-request.js';
import {type JobRouter} from './job-router.js';
import {CallerConnection} from './caller-connection.js';

/** Options of a {@link CallerApi}. */
export type CallerApiOptions = {
	readonly router: Pick<JobRouter, 'performOperation' | 'performNewOperation'>;
	/** Gets the token of the coordinator that callers should use for new jobs. */
	readonly getCoordinatorToken: () => string;
	/** Maximum size of a request body in bytes. */
	readonly maxBodyBytes: number;
	/** Account of the memory of requests. */
	readonly memory: CallerMemory;
};

/** Counters of a {@link CallerApi}. */
export type CallerApiCounters = {
	/** Refused requests by problem. */
	readonly badRequests: Readonly<Record<string, number>>;
	/** Callers that disconnected before their answer. */
	readonly disconnected: number;
} & CallerMemoryCounters;

/** The parts of a request that are parsed before its body is read. */
type RequestContext = {
	readonly req: IncomingMessage;
	readonly resource: CallerResource;
	readonly preferences: CallerPreferences;
	readonly caller: CallerConnection;
};

const coordinatorHeader = 'Endivemill-Coordinator';
const overloadRetryMs = 1000;

/** Handles callers' requests. */
export class CallerApi {
	readonly #options: CallerApiOptions;
	readonly #badRequests = new Map<ProblemName, number>();
	#disconnected = 0;

	constructor(options: CallerApiOptions) {
		this.#options = options;
	}

	/** Gets a copy of the counters. */
	getCounters(): CallerApiCounters {
		return {badRequests: Object.fromEntries(this.#badRequests), disconnected: this.#disconnected, ...this.#options.memory.getCounters()};
	}

	/**
	 * Handles one request. The promise never rejects.
	 * @param req - Request of the caller.
	 * @param res - Response to write the answer to.
	 */
	async handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const caller = new CallerConnection(res);
		const answer = await this.#parseAndAnswer(req, caller);
		if (res.destroyed) {
			this.#disconnected++;
			return;
		}

		if (!req.complete) {
			// The rest of the body was not read, so the connection cannot be reused.
			res.shouldKeepAlive = false;
		}

		writeAnswer(req, res, answer, [[coordinatorHeader, this.#options.getCoordinatorToken()]]);
	}

	async #parseAndAnswer(req: IncomingMessage, caller: CallerConnection): Promise<CallerAnswer> {
		const resource = parseResource(req.url ?? '');
		if (!resource.ok) {
			return this.#refuse(resource.problem, resource.detail);
		}

		const preferences = parsePreferences(req);
		if (!preferences.ok) {
			return this.#refuse(preferences.problem, preferences.detail);
		}

		return this.#answer({
			req, resource: resource.value, preferences: preferences.value, caller,
		});
	}

	async #answer(context: RequestContext): Promise<CallerAnswer> {
		const {req, resource} = context;
		switch (resource.kind) {
			case 'coordinator': {
				return this.#answerCoordinator(req);
			}

			case 'jobs': {
				return req.method === 'POST' ? this.#createJob(context) : this.#refuseMethod(req, 'POST');
			}

			case 'job': {
				return this.#answerJob(context, resource.id);
			}

			case 'service': {
				return this.#runPlainRequest(context, resource.service, resource.path);
			}
		}
	}

	#answerCoordinator(req: IncomingMessage): CallerAnswer {
		if (req.method !== 'GET' && req.method !== 'HEAD') {
			return this.#refuseMethod(req, 'GET');
		}

		return createJsonAnswer(200, {coordinator: this.#options.getCoordinatorToken()});
	}

	async #answerJob(context: RequestContext, id: JobId): Promise<CallerAnswer> {
		const {req, preferences, caller} = context;
		const {period} = id.coordinator;
		const {key} = id;
		const {attempt, waitMs} = preferences;
		switch (req.method ?? '') {
			case 'PUT': {
				const content = await this.#readContent(context, body => ({kind: 'job', body}), true);
				return content.ok ? this.#submit(context, id, content.value) : this.#refuse(content.problem, content.detail);
			}

			case 'GET':
			case 'HEAD': {
				return this.#options.router.performOperation(id.coordinator, {
					kind: 'get', period, key, waitMs: waitMs ?? 0,
				}, caller.withUnreachableTimeout(waitMs));
			}

			case 'DELETE': {
				return this.#options.router.performOperation(id.coordinator, {
					kind: 'cancel', period, key, attempt,
				}, caller.withUnreachableTimeout(waitMs));
			}

			default: {
				return this.#refuseMethod(req, 'PUT, GET, DELETE');
			}
		}
	}

	async #createJob(context: RequestContext): Promise<CallerAnswer> {
		const content = await this.#readContent(context, body => ({kind: 'job', body}), false);
		if (!content.ok) {
			return this.#refuse(content.problem, content.detail);
		}

		const waitMs = getSubmitWaitMs(context.preferences);
		return this.#countHeldBytes(content.value, async () => this.#options.router.performNewOperation({kind: 'create', content: content.value, waitMs}, context.caller));
	}

	async #runPlainRequest(context: RequestContext, service: string, path: string): Promise<CallerAnswer> {
		const {req, preferences, caller} = context;
		const {team, isIdempotent, deadlineMs, idempotencyKey} = preferences;
		const content = await this.#readContent(context, body => ({
			kind: 'plain', service, team, method: req.method ?? 'GET', path, headers: getRequestHeaders(req), body, isIdempotent, deadlineMs,
		}), idempotencyKey !== undefined);
		if (!content.ok) {
			return this.#refuse(content.problem, content.detail);
		}

		if (idempotencyKey !== undefined) {
			return this.#submit(context, idempotencyKey, content.value);
		}

		return this.#countHeldBytes(content.value, async () => this.#options.router.performNewOperation({kind: 'run-once', content: content.value}, caller));
	}

	async #submit(context: RequestContext, id: JobId, content: SubmissionContent): Promise<CallerAnswer> {
		const {preferences, caller} = context;
		const {attempt} = preferences;
		if (content.kind === 'refused') {
			this.#countBadRequest(content.problem);
		}

		const answer = await this.#countHeldBytes(content, async () => this.#options.router.performOperation(id.coordinator, {
			kind: 'submit', period: id.coordinator.period, key: id.key, attempt, content, waitMs: getSubmitWaitMs(preferences),
		}, caller.withUnreachableTimeout(preferences.waitMs)));
		if (answer.outcome !== undefined) {
			return answer;
		}

		return {...answer, headers: [...answer.headers, ['Preference-Applied', 'respond-async']]};
	}

	/**
	 * Reads the body and creates the content of the submission from it.
	 * For a request with an id, a body that is too large becomes a refusal that the coordinator records, so that the id stays refused.
	 */
	async #readContent(
		context: RequestContext,
		createContent: (body: Uint8Array) => SubmissionContent,
		hasId: boolean,
	): Promise<ParseResult<SubmissionContent>> {
		const {maxBodyBytes, memory} = this.#options;
		const overloadProblem = hasId ? 'too-many-requests' : 'too-many-jobs';
		if (memory.isFull()) {
			return {ok: false, problem: overloadProblem, detail: `${memory.getCounters().heldBytes} bytes of requests are held`};
		}

		const body = await readRequestBody(context.req, {maxBytes: maxBodyBytes, memory});
		if (body.kind === 'refused' && body.cause !== 'slow-body') {
			return {ok: false, problem: overloadProblem, detail: 'too many incomplete requests'};
		}

		if (body.kind === 'whole') {
			return {ok: true, value: createContent(body.bytes)};
		}

		const refusal = getBodyRefusal(body, maxBodyBytes);
		return hasId && body.kind === 'too-large'
			? {ok: true, value: {kind: 'refused', problem: refusal.problem, detail: refusal.detail}}
			: refusal;
	}

	/** Counts the bytes of a submission as held until its answer is available. */
	async #countHeldBytes(content: SubmissionContent, getAnswer: () => Promise<CallerAnswer>): Promise<CallerAnswer> {
		const bytes = content.kind === 'refused' ? 0 : content.body.length;
		this.#options.memory.addWholeBytes(bytes);
		const answer = await getAnswer();
		this.#options.memory.addWholeBytes(-bytes);
		return answer;
	}

	#refuseMethod(req: IncomingMessage, allowed: string): CallerAnswer {
		const answer = this.#refuse('method-not-allowed', `${req.method ?? ''} is not allowed here`);
		return {...answer, headers: [...answer.headers, ['Allow', allowed]]};
	}

	#refuse(problem: ProblemName, detail: string): CallerAnswer {
		this.#countBadRequest(problem);
		const isOverload = problem === 'too-many-requests' || problem === 'too-many-jobs';
		return createProblemAnswer(problem, {detail, retryAfterMs: isOverload ? overloadRetryMs : undefined});
	}

	#countBadRequest(problem: ProblemName): void {
		this.#badRequests.set(problem, (this.#badRequests.get(problem) ?? 0) + 1);
	}
}

/** Gets the time in milliseconds that a submission waits for its answer; `undefined`: until the job ends. */
function getSubmitWaitMs({isAsync, waitMs}: CallerPreferences): number | undefined {
	return isAsync ? waitMs ?? 0 : undefined;
}

function getBodyRefusal(body: RequestBody, maxBodyBytes: number): {readonly ok: false; readonly problem: ProblemName; readonly detail: string} {
	if (body.kind === 'too-large') {
		return {ok: false, problem: 'body-too-large', detail: `at most ${maxBodyBytes} bytes`};
	}

	return {ok: false, problem: 'invalid-request', detail: body.kind === 'refused' ? 'the body arrived too slowly' : 'the body broke off'};
}


/**
 * Sends single calls to the caller interface of an entry VM.
 */
import {createHash} from 'node:crypto';
import {Agent, type Dispatcher} from 'undici';
import * as z from 'zod';
import {
	type CallAnswer, type CallerJob, type CallerJobId, type CallerRequest, type CallFault, type CallResult,
} from './call.js';

/** Options of one call. */
export type CallOptions = {
	/** Attempt that the call belongs to; callers increment it after `not_run`. */
	readonly attempt?: number;
	/** Abandons the call. */
	readonly signal?: AbortSignal;
};

const coordinatorHeader = 'endivemill-coordinator';
const attemptHeader = 'endivemill-attempt';
const outcomeHeader = 'endivemill-outcome';
const idempotentHeader = 'endivemill-idempotent';
const problemContentType = 'application/problem+json';
const refusedCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH']);
const connectTimeoutMs = 2000;

const completeSchema = z.object({
	outcome: z.literal('complete'),
	tasks: z.array(z.object({status: z.number(), body: z.string()})),
});

const problemSchema = z.object({
	outcome: z.enum(['not_run', 'failed', 'unknown']),
	type: z.string().default(''),
	detail: z.string().default(''),
	retryAfterMs: z.number().optional(),
});

const coordinatorSchema = z.object({coordinator: z.string()});

/** A complete HTTP answer. @internal */
type RawAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: string;
};

/** Sends single calls to entry VMs and parses their answers; never retries. */
export class EntryVmClient {
	readonly #agent = new Agent({
		connect: {timeout: connectTimeoutMs},
		headersTimeout: 0,
		bodyTimeout: 0,
	});

	/**
	 * Gets the coordinator token of an entry VM; `undefined` when there is no answer.
	 * @param address - Caller address of the entry VM.
	 * @param signal - Abandons the call.
	 */
	async getCoordinator(address: string, signal?: AbortSignal): Promise<string | undefined> {
		const raw = await this.#send(address, {method: 'GET', path: '/v1/coordinator', signal});
		return 'kind' in raw ? undefined : coordinatorSchema.safeParse(parseJson(raw.body)).data?.coordinator;
	}

	/**
	 * Submits or resubmits a job under an id.
	 * @param address - Caller address of the entry VM.
	 * @param id - Id of the job.
	 * @param job - Job to run.
	 * @param options - Attempt and signal.
	 */
	async submitJob(address: string, id: CallerJobId, job: CallerJob, options: CallOptions = {}): Promise<CallResult> {
		return this.#call(address, {
			method: 'PUT',
			path: getJobPath(id),
			body: JSON.stringify(job),
			headers: {'content-type': 'application/json', ...getAttemptHeaders(options)},
			signal: options.signal,
		});
	}

	/**
	 * Submits a job without an id, which cannot be resubmitted.
	 * @param address - Caller address of the entry VM.
	 * @param job - Job to run.
	 * @param options - Attempt and signal.
	 */
	async postJob(address: string, job: CallerJob, options: CallOptions = {}): Promise<CallResult> {
		return this.#call(address, {
			method: 'POST',
			path: '/v1/jobs',
			body: JSON.stringify(job),
			headers: {'content-type': 'application/json'},
			signal: options.signal,
		});
	}

	/**
	 * Gets the answer of a job, or its current state.
	 * @param address - Caller address of the entry VM.
	 * @param id - Id of the job.
	 * @param signal - Abandons the call.
	 */
	async getJob(address: string, id: CallerJobId, signal?: AbortSignal): Promise<CallResult> {
		return this.#call(address, {method: 'GET', path: getJobPath(id), signal});
	}

	/**
	 * Cancels a job; resolves to whether the entry VM accepted the cancellation.
	 * @param address - Caller address of the entry VM.
	 * @param id - Id of the job.
	 * @param signal - Abandons the call.
	 */
	async cancelJob(address: string, id: CallerJobId, signal?: AbortSignal): Promise<boolean> {
		const raw = await this.#send(address, {method: 'DELETE', path: getJobPath(id), signal});
		return !('kind' in raw) && raw.status < 400;
	}

	/**
	 * Sends one plain request.
	 * @param address - Caller address of the entry VM.
	 * @param req - Request to send.
	 * @param id - Idempotency key; absent when the request cannot be resubmitted.
	 * @param options - Attempt and signal.
	 */
	async sendRequest(address: string, req: CallerRequest, id?: CallerJobId, options: CallOptions = {}): Promise<CallResult> {
		const raw = await this.#send(address, {
			method: req.method,
			path: `/v1/services/${req.service}${req.path}`,
			body: req.body,
			headers: {
				...req.headers,
				...(id === undefined ? {} : {'idempotency-key': `${id.coordinator}/${id.key}`}),
				...(req.isIdempotent ? {[idempotentHeader]: 'true'} : {}),
				...getAttemptHeaders(options),
			},
			signal: options.signal,
		});
		return 'kind' in raw ? raw : parseRequestAnswer(raw);
	}

	/** Closes all connections; running calls end with reason `cut`. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #call(address: string, options: Omit<Dispatcher.RequestOptions, 'origin'>): Promise<CallResult> {
		const raw = await this.#send(address, options);
		return 'kind' in raw ? raw : parseJobAnswer(raw);
	}

	async #send(address: string, options: Omit<Dispatcher.RequestOptions, 'origin'>): Promise<RawAnswer | CallFault> {
		try {
			const res = await this.#agent.request({...options, origin: `http://${address}`});
			return {status: res.statusCode, headers: res.headers, body: await res.body.text()};
		} catch (err) {
			return createFault(err, options.signal as AbortSignal | undefined);
		}
	}
}

function getJobPath({coordinator, key}: CallerJobId): string {
	return `/v1/jobs/${coordinator}/${key}`;
}

function getAttemptHeaders({attempt}: CallOptions): Record<string, string> {
	return attempt === undefined || attempt === 1 ? {} : {[attemptHeader]: String(attempt)};
}

function parseJobAnswer(raw: RawAnswer): CallResult {
	const value = parseJson(raw.body);
	const complete = completeSchema.safeParse(value);
	if (raw.status === 200 && complete.success) {
		const {tasks} = value as {tasks: unknown};
		return {
			...getCommonFields(raw), outcome: 'complete', tasks: complete.data.tasks, problemType: '', detail: '', hash: getHash(JSON.stringify(tasks)),
		};
	}

	return parseProblem(raw) ?? {kind: 'no-answer', reason: 'garbled', detail: `status ${raw.status}: ${raw.body.slice(0, 200)}`};
}

/** The answer of a plain request is that of the upstream, unless the entry VM reports a problem. */
function parseRequestAnswer(raw: RawAnswer): CallResult {
	const isComplete = raw.headers[outcomeHeader] === 'complete';
	const problem = isComplete ? undefined : parseProblem(raw);
	return problem ?? {
		...getCommonFields(raw), outcome: 'complete', tasks: [{status: raw.status, body: raw.body}], problemType: '', detail: '', hash: getHash(`${raw.status} ${raw.body}`),
	};
}

function parseProblem(raw: RawAnswer): CallAnswer | undefined {
	const contentType = raw.headers['content-type'];
	if (typeof contentType !== 'string' || !contentType.startsWith(problemContentType)) {
		return undefined;
	}

	const problem = problemSchema.safeParse(parseJson(raw.body));
	if (!problem.success) {
		return undefined;
	}

	const {outcome, type, detail, retryAfterMs} = problem.data;
	const common = getCommonFields(raw);
	return {
		...common, outcome, tasks: [], problemType: type, detail, hash: '', retryAfterMs: retryAfterMs ?? common.retryAfterMs,
	};
}

function getCommonFields(raw: RawAnswer): Pick<CallAnswer, 'coordinator' | 'kind' | 'retryAfterMs' | 'status'> {
	const coordinator = raw.headers[coordinatorHeader];
	const retryAfter = Number(raw.headers['retry-after'] ?? Number.NaN);
	return {
		kind: 'answered',
		status: raw.status,
		coordinator: typeof coordinator === 'string' ? coordinator : undefined,
		retryAfterMs: Number.isFinite(retryAfter) ? retryAfter * 1000 : undefined,
	};
}

function createFault(err: unknown, signal: AbortSignal | undefined): CallFault {
	const {code, message} = err as {code?: string; message?: string};
	const detail = `${code ?? ''} ${message ?? ''}`.trim();
	if (signal?.aborted) {
		return {kind: 'no-answer', reason: 'left', detail};
	}

	return {kind: 'no-answer', reason: code !== undefined && refusedCodes.has(code) ? 'refused' : 'cut', detail};
}

function getHash(value: string): string {
	return createHash('sha256').update(value).digest('hex').slice(0, 32);
}

function parseJson(value: string): unknown {
	try {
		return JSON.parse(value);
	} catch {
		return undefined;
	}
}

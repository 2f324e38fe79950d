/**
 * A caller of the process soak: submits one job at a time over a connection that it reuses until it closes.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Client} from 'undici';
import {type Random} from '../../src/seams/index.js';
import {type Balancer} from './balancer.js';
import {getSharedTime, type Submission} from './history.js';
import {
	getJobSpec, getNeeds, type JobKind, jobKinds, largeJobKind, longJobKind,
} from './jobs.js';
import {type VmProcess} from './vm-process.js';
import {host, prefix} from './stand-in-process.js';

/** Deadlines that a caller and a patient one send with a job, in milliseconds. */
const usualDeadlineMs = 1500;
const patientDeadlineMs = 20_000;

const defaultLateAnswerMs = 2500;

/** Time from the end of an unanswered submission until the job is submitted again, in milliseconds; the documented `resend_ms`. */
const resubmitMs = 1300;
const maxSubmissions = 3;

/** Time until the next connection attempt after one failed, in milliseconds. */
const reconnectMs = 100;

/** Options of {@link Caller}. */
export type CallerOptions = {
	/** Part of its job identifiers that follows the kind; unique to the caller. */
	readonly name: string;
	readonly dataCenter: string;
	readonly balancer: Balancer;
	readonly random: Random;
	/** Mean time between two jobs, in milliseconds; the times are exponentially distributed. */
	readonly meanPauseMs: number;
	/** Whether it waits for long. */
	readonly isPatient: boolean;
	/** Kinds of its jobs; all by default. */
	readonly kinds?: readonly JobKind[];
	/** Share of its jobs that are long; none by default. */
	readonly longShare?: number;
	/** Share of its jobs that have many small tasks; none by default. */
	readonly largeShare?: number;
	/** Time from the deadline until it abandons a submission, in milliseconds, because the VM may answer late. */
	readonly lateAnswerMs?: number;
	readonly onSubmission: (submission: Submission) => void;
};

type Connection = {readonly vm: VmProcess; readonly client: Client; connectedAt: number | undefined; isOpen: boolean};

/** Submits jobs until `close`. */
export class Caller {
	readonly #options: CallerOptions;
	#connection: Connection | undefined;
	#isClosed = false;
	#jobCount = 0;
	#waitingSince: number | undefined;

	constructor(options: CallerOptions) {
		this.#options = options;
	}

	/** Submits jobs; resolves after `close` when the last job has ended. */
	async run(): Promise<void> {
		const {kinds, random, meanPauseMs: pauseMs, longShare = 0, largeShare = 0} = this.#options;
		while (!this.#isClosed) {
			await delay(-Math.log(1 - random.getFloat()) * pauseMs);
			const isLong = longShare > 0 && random.getFloat() < longShare;
			const isLarge = largeShare > 0 && random.getFloat() < largeShare;
			await this.#submitJob(isLong ? longJobKind : (isLarge ? largeJobKind : drawJobKind(random, kinds)));
		}

		await this.#connection?.client.destroy();
	}

	/** Resets its connection, also while it waits for an answer. */
	resetConnection(): void {
		void this.#connection?.client.destroy();
	}

	/**
	 * Gets the time since which it waits for an answer of a VM; `undefined` if it does not.
	 * @param vm - VM.
	 */
	getWaitingSince(vm: VmProcess): number | undefined {
		return this.#connection?.vm === vm ? this.#waitingSince : undefined;
	}

	/** Stops after the current job. */
	close(): void {
		this.#isClosed = true;
	}

	async #submitJob(kind: JobKind): Promise<void> {
		this.#jobCount++;
		const job = `${jobKinds.indexOf(kind)}${this.#options.name}${this.#jobCount.toString(16).padStart(15 - this.#options.name.length, '0')}`;
		for (let submissionCount = 0; submissionCount < maxSubmissions && !this.#isClosed; submissionCount++) {
			const submission = await this.#submitOnce(job, kind);
			if (submission) {
				this.#options.onSubmission(submission);
				if (submission.end === 'answered' && submission.status !== 502 && submission.status !== 504) {
					return;
				}

				await delay(Math.max(0, submission.endedAt + resubmitMs - getSharedTime()));
			} else {
				// No connection was made, so this does not count as a submission.
				submissionCount--;
				await delay(reconnectMs);
			}
		}
	}

	async #submitOnce(job: string, kind: JobKind): Promise<Submission | undefined> {
		const connection = this.#connect();
		const requestedAt = getSharedTime();
		const {isPatient, lateAnswerMs} = this.#options;
		this.#waitingSince = requestedAt;
		const result = await submitJob(connection.client, job, kind, {deadlineMs: isPatient ? patientDeadlineMs : usualDeadlineMs, lateAnswerMs});
		this.#waitingSince = undefined;
		if (!connection.isOpen || result.end === 'left') {
			this.#connection = undefined;
			void connection.client.destroy();
		}

		return connection.connectedAt === undefined
			? undefined
			: {
				job, taskCount: kind.taskCount, vm: connection.vm.getName(), sentAt: Math.max(requestedAt, connection.connectedAt), endedAt: getSharedTime(), ...result,
			};
	}

	#connect(): Connection {
		if (this.#connection?.isOpen) {
			return this.#connection;
		}

		const vm = this.#options.balancer.chooseVm(this.#options.dataCenter, this.#options.random);
		const client = new Client(vm.getCallerUrl(), {
			pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: {timeout: 1000},
		});
		const connection: Connection = {
			vm, client, connectedAt: undefined, isOpen: true,
		};
		client.on('connect', () => {
			connection.connectedAt ??= getSharedTime();
		});
		const end = (): void => {
			connection.isOpen = false;
		};

		client.on('disconnect', end);
		client.on('connectionError', end);
		this.#connection = connection;
		return connection;
	}
}

/**
 * Submits a job once.
 * @param client - Connection to an entry VM.
 * @param job - Identifier of the job.
 * @param kind - Kind of the job.
 * @param limits - Deadline, and time from it until the submission is abandoned, in milliseconds.
 * @returns How the submission ended.
 */
export async function submitJob(client: Client, job: string, kind: JobKind, {deadlineMs = usualDeadlineMs, lateAnswerMs = defaultLateAnswerMs} = {}): Promise<Pick<Submission, 'end' | 'status' | 'state'>> {
	const {taskCount, durationMs} = kind;
	const {cpu, memoryMb} = getNeeds(kind);
	const signal = AbortSignal.timeout(deadlineMs + lateAnswerMs);
	let status: number | undefined;
	try {
		const res = await client.request({
			method: 'POST',
			path: `${prefix}${job}`,
			headers: {host, 'content-type': 'application/json', 'x-endivemill-deadline-ms': String(deadlineMs)},
			body: JSON.stringify({
				spec: getJobSpec(job), best_effort: true, steps: [{
					count: taskCount, cpu, mem_mb: memoryMb, estimate_ms: durationMs,
				}],
			}),
			signal,
		});
		status = res.statusCode;
		const text = await res.body.text();
		return {end: 'answered', status, state: status === 200 ? parseState(text) : undefined};
	} catch {
		if (signal.aborted) {
			return {end: 'left', status};
		}

		return {end: status === undefined ? 'broken' : 'cut', status};
	}
}

function parseState(text: string): string | undefined {
	try {
		return (JSON.parse(text) as {readonly state?: string}).state;
	} catch {
		return undefined;
	}
}

function drawJobKind(random: Random, kinds = jobKinds): JobKind {
	let remainingWeight = random.getFloat() * kinds.reduce((sum, {weight}) => sum + weight, 0);
	return kinds.find(({weight}) => {
		remainingWeight -= weight;
		return remainingWeight < 0;
	}) ?? kinds[0]!;
}

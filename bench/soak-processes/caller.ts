/**
 * A caller in a soak of processes: one connection that stays open until the process is gone, one job after another.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Client} from 'undici';
import {type Random} from '../../src/seams/index.js';
import {type Balancer} from './balancer.js';
import {getSharedTime, type Submission} from './history.js';
import {
	type JobKind, jobKinds, taskCpu, taskMemoryMb,
} from './jobs.js';
import {type VmProcess} from './vm-process.js';
import {host, prefix} from './stand-in-process.js';

/** Time that a caller says it waits, in milliseconds. */
const deadlineMs = 1500;

/** Time after which a caller gives a send up, in milliseconds: the VM may answer late. */
const patienceMs = 4000;

/** Time after which a job is sent again that got no answer, in milliseconds; the pages' `resend_ms`. */
const resendMs = 1300;
const maxSends = 3;

/** Time until another VM is tried where none listened, in milliseconds. */
const reconnectMs = 100;

/** Options of {@link Caller}. */
export type CallerOptions = {
	/** Characters of its jobs' identifiers after the kind; not shared with other callers. */
	readonly name: string;
	readonly dataCenter: string;
	readonly balancer: Balancer;
	readonly random: Random;
	/** Mean time between its jobs, in milliseconds. */
	readonly meanPauseMs: number;
	readonly onSubmission: (send: Submission) => void;
};

type Connection = {readonly vm: VmProcess; readonly client: Client; connectedAt: number | undefined; isOpen: boolean};

/** Sends jobs until `close`. */
export class Caller {
	readonly #options: CallerOptions;
	#connection: Connection | undefined;
	#isClosed = false;
	#count = 0;

	constructor(options: CallerOptions) {
		this.#options = options;
	}

	/** Sends jobs; ends after `close` with the last one. */
	async run(): Promise<void> {
		const {random, meanPauseMs: pauseMs} = this.#options;
		while (!this.#isClosed) {
			await delay(-Math.log(1 - random.getFloat()) * pauseMs);
			await this.#submit(drawKind(random));
		}

		await this.#connection?.client.destroy();
	}

	/** Ends with the present job. */
	close(): void {
		this.#isClosed = true;
	}

	async #submit(kind: JobKind): Promise<void> {
		this.#count++;
		const job = `${jobKinds.indexOf(kind)}${this.#options.name}${this.#count.toString(16).padStart(15 - this.#options.name.length, '0')}`;
		for (let sends = 0; sends < maxSends && !this.#isClosed; sends++) {
			const send = await this.#send(job, kind);
			if (send) {
				this.#options.onSubmission(send);
				if (send.end === 'answered' && send.status !== 502 && send.status !== 504) {
					return;
				}

				await delay(Math.max(0, send.endedAt + resendMs - getSharedTime()));
			} else {
				// Nothing was sent.
				sends--;
				await delay(reconnectMs);
			}
		}
	}

	async #send(job: string, kind: JobKind): Promise<Submission | undefined> {
		const connection = this.#connect();
		const calledAt = getSharedTime();
		const result = await sendJob(connection.client, job, kind);
		if (!connection.isOpen || result.end === 'left') {
			this.#connection = undefined;
			void connection.client.destroy();
		}

		return connection.connectedAt === undefined
			? undefined
			: {
				job, taskCount: kind.taskCount, vm: connection.vm.getName(), sentAt: Math.max(calledAt, connection.connectedAt), endedAt: getSharedTime(), ...result,
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

/** Sends a job once and tells how it ended. */
export async function sendJob(client: Client, job: string, {taskCount, durationMs}: JobKind): Promise<Pick<Submission, 'end' | 'status' | 'state'>> {
	const signal = AbortSignal.timeout(patienceMs);
	let status: number | undefined;
	try {
		const res = await client.request({
			method: 'POST',
			path: `${prefix}${job}`,
			headers: {host, 'content-type': 'application/json', 'x-endivemill-deadline-ms': String(deadlineMs)},
			body: JSON.stringify({
				spec: 'x', best_effort: true, steps: [{
					count: taskCount, cpu: taskCpu, mem_mb: taskMemoryMb, estimate_ms: durationMs,
				}],
			}),
			signal,
		});
		status = res.statusCode;
		const text = await res.body.text();
		return {end: 'answered', status, state: status === 200 ? getState(text) : undefined};
	} catch {
		if (signal.aborted) {
			return {end: 'left', status};
		}

		return {end: status === undefined ? 'broken' : 'cut', status};
	}
}

function getState(text: string): string | undefined {
	try {
		return (JSON.parse(text) as {readonly state?: string}).state;
	} catch {
		return undefined;
	}
}

function drawKind(random: Random): JobKind {
	let rest = random.getFloat() * jobKinds.reduce((sum, {weight}) => sum + weight, 0);
	return jobKinds.find(({weight}) => {
		rest -= weight;
		return rest < 0;
	}) ?? jobKinds[0]!;
}

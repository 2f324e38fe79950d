/**
 * Callers of a simulated fleet: each submits a job to a VM, and submits it again with the same identifier when the connection breaks.
 */
import {type PoolJobOutcome, type PoolJobRequest} from '../pool/index.js';
import {type Clock, type Random, sleep} from '../seams/index.js';
import {type FleetVm} from './fleet-vm.js';

/** Outcome of a submission for the caller. `left`: the caller stopped waiting. `broken`: the connection ended. */
export type SubmissionOutcome = PoolJobOutcome['kind'] | 'left' | 'broken';

/** One submission of a job. */
export type FleetSubmission = {
	readonly job: string;
	readonly taskCount: number;
	readonly vm: string;
	readonly sentAt: number;
	endedAt: number;
	outcome: SubmissionOutcome | undefined;
};

/** Options of {@link FleetCallers}. */
export type FleetCallersOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Selects the callers that submit again after no answer; by default, none does. */
	readonly resendRandom?: Random;
	/** Selects the callers that leave soon after they submitted a long job, and submit it again; by default, none does. */
	readonly leaverRandom?: Random;
	/** Returns the running incarnations by VM name. */
	readonly getVms: () => ReadonlyMap<string, FleetVm>;
	/** Called with each new job and the duration of its tasks, in milliseconds. */
	readonly onJobCreated: (job: PoolJobRequest, durationMs: number) => void;
	/** Returns whether the caller of the next job waits for long. */
	readonly isPatient: () => boolean;
};

/** A job with the time until its caller stops waiting, and the deadline that it names, in milliseconds. */
type SentJob = {readonly job: PoolJobRequest; readonly maxWaitMs: number; readonly deadlineMs: number};

/** Possible durations of tasks in milliseconds, and CPU demand of a task in thousandths of a core: half the capacity of an upstream. */
const taskDurationsMs = [60, 200, 900] as const;
const taskCpu = 8000;
const maxTasks = 8;

/** Deadlines of a caller and of one that waits for long, delay before the next submission, and one-way latency, in milliseconds. */
const usualDeadlineMs = 1500;
const patientDeadlineMs = 20_000;
const resubmitDelayMs = 1300;
const oneWayLatencyMs = 1;

/** Time after the deadline for which a VM waits for a late answer, in milliseconds: it ends before the next submission. */
const lateAnswerMs = 900;

/** Share of callers that disconnect before their deadline. */
const earlyLeaverShare = 0.08;
const maxSubmissions = 3;

/** Share of the callers that leave soon, longest time until they do, and duration of their tasks, in milliseconds. */
const leaverShare = 0.3;
const maxLeaverWaitMs = 300;
const longTaskMs = 1400;

/** Share of callers that submit again after no answer until their deadline, if there are such callers. */
const resenderShare = 0.5;

const idBytes = 8;

/** Outcomes after which each caller submits again. */
const repeatedOutcomes: ReadonlySet<SubmissionOutcome> = new Set<SubmissionOutcome>(['broken', 'interrupted', 'moved']);

/** Submits jobs and records the outcomes that callers observe. */
export class FleetCallers {
	readonly submissions: FleetSubmission[] = [];
	readonly #options: FleetCallersOptions;
	/** Functions that end the connections to each incarnation. */
	readonly #connections = new Map<FleetVm, Set<() => void>>();

	constructor(options: FleetCallersOptions) {
		this.#options = options;
	}

	/** Submits one job, up to three times. */
	async submitJob(): Promise<void> {
		const {clock, random, isPatient, leaverRandom, resendRandom} = this.#options;
		const isLeaver = leaverRandom !== undefined && leaverRandom.getFloat() < leaverShare;
		const job = this.#createJob(isLeaver ? longTaskMs : undefined);
		const isResender = isLeaver || (resendRandom !== undefined && resendRandom.getFloat() < resenderShare);
		const deadlineMs = isPatient() ? patientDeadlineMs : usualDeadlineMs;
		const usualWaitMs = random.getFloat() < earlyLeaverShare ? 50 + (random.getFloat() * 800) : deadlineMs;
		const maxWaitMs = isLeaver ? leaverRandom.getFloat() * maxLeaverWaitMs : usualWaitMs;
		let lastVm = '';
		for (let count = 0; count < maxSubmissions; count++) {
			const chosen = this.#chooseVm(lastVm);
			if (chosen === undefined) {
				return;
			}

			const [name, vm] = chosen;
			const submission: FleetSubmission = {
				job: job.id, taskCount: job.steps[0]!.taskCount, vm: name, sentAt: clock.getMonotonicTime(), endedAt: Infinity, outcome: undefined,
			};
			this.submissions.push(submission);
			submission.outcome = await this.#sendSubmission(vm, {job, maxWaitMs, deadlineMs});
			submission.endedAt = clock.getMonotonicTime();
			const isRepeated = submission.outcome === 'left' ? isResender : repeatedOutcomes.has(submission.outcome);
			if (!isRepeated) {
				return;
			}

			lastVm = name;
			await sleep(clock, resubmitDelayMs);
		}
	}

	/**
	 * Ends the callers' connections to an incarnation that has ended.
	 * @param vm - Incarnation.
	 */
	handleVmEnded(vm: FleetVm): void {
		for (const disconnect of this.#connections.get(vm) ?? []) {
			disconnect();
		}
	}

	#chooseVm(excluded: string): readonly [name: string, vm: FleetVm] | undefined {
		const {random, getVms} = this.#options;
		const vms = [...getVms()].filter(([name]) => name !== excluded);
		return vms[Math.floor(random.getFloat() * vms.length)];
	}

	#createJob(longMs?: number): PoolJobRequest {
		const {random, onJobCreated} = this.#options;
		const id = random.getHex(idBytes);
		const usualMs = taskDurationsMs[Math.floor(random.getFloat() * taskDurationsMs.length)]!;
		const durationMs = longMs ?? usualMs;
		const taskCount = 1 + Math.floor(random.getFloat() * maxTasks);
		const job: PoolJobRequest = {
			id,
			spec: 'work',
			steps: [{
				taskCount, needs: {cpu: taskCpu, memoryMb: 64, accelerators: 0}, estimateMs: durationMs, after: [],
			}],
			rules: {
				route: `r${durationMs}`, service: 's', priority: Math.floor(random.getFloat() * 2), maxAttempts: 3, stretch: 1.6, slackMs: 200,
			},
		};
		onJobCreated(job, durationMs);
		return job;
	}

	async #sendSubmission(vm: FleetVm, sent: SentJob): Promise<SubmissionOutcome> {
		const {clock} = this.#options;
		return new Promise(resolve => {
			const controller = new AbortController();
			const connections = this.#connections.get(vm) ?? new Set();
			this.#connections.set(vm, connections);
			const finish = (outcome: SubmissionOutcome): void => {
				connections.delete(disconnect);
				timer.close();
				resolve(outcome);
			};

			const disconnect = (): void => {
				finish('broken');
			};

			const timer = clock.setTimer(() => {
				finish('left');
				clock.setTimer(() => {
					vm.process.dispatch(() => {
						controller.abort();
					});
				}, oneWayLatencyMs);
			}, sent.maxWaitMs);
			connections.add(disconnect);
			clock.setTimer(() => {
				vm.process.dispatch(() => {
					void this.#handleSubmission(vm, sent, controller, finish);
				});
			}, oneWayLatencyMs);
		});
	}

	async #handleSubmission(vm: FleetVm, {job, deadlineMs}: SentJob, controller: AbortController, finish: (outcome: SubmissionOutcome) => void): Promise<void> {
		vm.pendingRequestCount++;
		const remainingMs = deadlineMs - vm.node.getUnreadMs();
		const timer = vm.process.setTimer(() => {
			controller.abort();
		}, remainingMs + lateAnswerMs);
		const {kind} = await vm.node.submit(job, remainingMs, controller.signal);
		timer.close();
		vm.pendingRequestCount--;
		this.#options.clock.setTimer(() => {
			finish(kind);
		}, oneWayLatencyMs);
	}
}

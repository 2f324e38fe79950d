/**
 * Dispatchers that are compared, behind a common interface.
 */
import {type Incarnation, type Member} from '../../src/connection/index.js';
import {
	createTaskScheduler, EventLog, type SchedulerTuning, type ScheduledJob, type SlotScheduler,
} from '../../src/process/index.js';
import {createSeededRandom, type Random} from '../../src/seams/index.js';
import {type ManualClock} from '../../src/testing/manual-clock.js';
import {createPushStream} from '../../src/testing/push-stream.js';
import {type Configuration} from '../../src/version/index.js';
import {type SimulatedUpstream} from './simulated-upstream.js';

/** Dispatches the jobs of a run. */
export type Dispatcher = {
	/**
	 * Submits a job to an entry VM chosen at random, as by a load balancer.
	 * @param job - Job to run.
	 * @param entryVmDraw - Random number from 0 to 1 that selects the entry VM.
	 * @returns Whether the job was admitted.
	 */
	addJob(job: ScheduledJob, entryVmDraw: number): boolean;
	removeJob(jobId: string): void;
	/** Gets the counts of messages between entry VMs, by kind, and of task starts. */
	getMessages(): Readonly<Record<string, number>>;
	close(): Promise<void>;
};

/** Options of {@link createSchedulerGroup}. */
export type SchedulerGroupOptions = {
	readonly clock: ManualClock;
	readonly upstreams: readonly SimulatedUpstream[];
	readonly configuration: Configuration;
	readonly nodeCount: number;
	/** One-way latency of a message between entry VMs, in milliseconds. */
	readonly latencyMs: number;
	readonly tuning?: Partial<SchedulerTuning>;
	/** Whether the entry VMs may lease from each other. */
	readonly isSplit?: boolean;
};

const messageKinds = ['messages', 'demands', 'grants', 'returns', 'claims', 'leasedStarts', 'starts', 'retries'] as const;

/** Creates the schedulers of several entry VMs, connected by messages with a latency; a single one acts as a central queue. */
export function createSchedulerGroup(options: SchedulerGroupOptions): Dispatcher {
	const nodes = createNodes(options);
	return {
		addJob: (job, entryVmDraw) => nodes[Math.floor(entryVmDraw * nodes.length)]!.addJob(job).admitted,
		removeJob(jobId) {
			for (const node of nodes) {
				node.removeJob(jobId);
			}
		},
		getMessages() {
			const counters = nodes.map(node => node.getCounters());
			return Object.fromEntries(messageKinds.map(kind => [kind, counters.reduce((total, counter) => total + counter[kind], 0)]));
		},
		async close() {
			await Promise.all(nodes.map(async node => node.close()));
		},
	};
}

function createNodes(options: SchedulerGroupOptions): readonly SlotScheduler[] {
	const {clock, nodeCount} = options;
	const incarnations = Array.from({length: nodeCount}, (_, index): Incarnation => ({dataCenter: 'a', vm: `vm${index}`, id: `vm${index}-0`}));
	const nodes: SlotScheduler[] = [];
	for (const [index, self] of incarnations.entries()) {
		const members = incarnations.filter(other => other !== self).map((incarnation): Member => ({
			incarnation, state: 'up', isLeaving: false, peerAddress: '127.0.0.1:1', configurationVersion: 1, claims: {}, cores: 1,
		}));
		nodes.push(createTaskScheduler({
			clock,
			random: createSeededRandom(index),
			self,
			upstreams: createPushStream(options.upstreams.map(upstream => upstream.listed)).stream,
			configuration: createPushStream(options.configuration).stream,
			members: createPushStream<readonly Member[]>(members).stream,
			sendControl(to, message) {
				const target = incarnations.findIndex(other => other.id === to);
				clock.setTimer(() => {
					nodes[target]!.handleControl(message, self.id);
				}, options.latencyMs);
				return true;
			},
			events: new EventLog({clock, process: self.id, capacity: 100}),
			...(options.tuning && {tuning: options.tuning}),
		}));
	}

	return nodes;
}

/** Chooses the upstream to which a task is sent, even if it has no free slot. */
export type DirectUpstreamChoice = (upstreams: readonly SimulatedUpstream[], random: Random) => SimulatedUpstream;

/** Chooses an upstream uniformly at random. */
export const chooseRandom: DirectUpstreamChoice = (upstreams, random) => upstreams[Math.floor(random.getFloat() * upstreams.length)]!;

/** Draws two upstreams at random and chooses the one with fewer outstanding tasks. */
export const chooseLessLoadedOfTwo: DirectUpstreamChoice = (upstreams, random) => {
	const first = chooseRandom(upstreams, random);
	const second = chooseRandom(upstreams, random);
	return first.getOutstanding() <= second.getOutstanding() ? first : second;
};

/** Maximum number of attempts of a task by a direct dispatcher. */
const maxAttempts = 3;

/** Creates a dispatcher without slots that sends each task to an upstream immediately and retries after any failure. */
export function createDirectDispatcher(upstreams: readonly SimulatedUpstream[], choose: DirectUpstreamChoice): Dispatcher {
	const random = createSeededRandom(1);
	const removed = new Set<string>();
	let starts = 0;
	const runTask = async (job: ScheduledJob, task: ScheduledJob['tasks'][number]): Promise<void> => {
		for (let attempt = 1; attempt <= maxAttempts && !removed.has(job.id); attempt++) {
			starts++;
			const end = await task.run(choose(upstreams, random).listed, attempt);
			if (end.kind === 'answered') {
				return;
			}

			if (attempt === maxAttempts) {
				task.abandon(end);
			}
		}
	};

	return {
		addJob(job) {
			for (const task of job.tasks) {
				void runTask(job, task);
			}

			return true;
		},
		removeJob(jobId) {
			removed.add(jobId);
		},
		getMessages: () => ({messages: 0, starts}),
		close: async () => undefined,
	};
}

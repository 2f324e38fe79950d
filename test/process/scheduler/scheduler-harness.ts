import {type ControlMessage, type Incarnation, type Member} from '../../../src/connection/index.js';
import {type ListedUpstream, upstreamSchema} from '../../../src/platform/index.js';
import {
	createTaskScheduler, EventLog, type ScheduledJob, type SlotScheduler, type TaskEnd, type TaskSchedulerOptions,
} from '../../../src/process/index.js';
import {createSeededRandom} from '../../../src/seams/index.js';
import {ManualClock} from '../../../src/testing/manual-clock.js';
import {createPushStream, type PushStream} from '../../../src/testing/push-stream.js';
import {type Configuration, configurationSchema} from '../../../src/version/index.js';

/** Start of a task on an upstream. */
export type Start = {
	readonly vm: string;
	readonly task: string;
	readonly upstream: string;
	readonly attempt: number;
	end(end: TaskEnd): void;
};

/** Simulated entry VM. */
export type TestNode = {
	readonly self: Incarnation;
	readonly scheduler: SlotScheduler;
	readonly members: PushStream<readonly Member[]>;
};

export type HarnessOptions = {
	readonly nodeCount?: number;
	/** Data centre of each entry VM; `a` by default. */
	readonly dataCenters?: readonly string[];
	readonly upstreams?: readonly ListedUpstream[];
	readonly profile?: Record<string, unknown>;
	readonly teams?: Record<string, unknown>;
	readonly tuning?: TaskSchedulerOptions['tuning'];
	/** Delivers a message; by default immediately. */
	readonly deliver?: (send: () => void, from: number, to: number) => void;
};

export const answered: TaskEnd = {kind: 'answered', status: 200};
export const failed: TaskEnd = {kind: 'failed', detail: 'status 500'};
export const refused: TaskEnd = {kind: 'not_started', detail: 'connection refused', isUnreachable: true};

export function createUpstream(name: string, fields: Partial<ListedUpstream> = {}): ListedUpstream {
	return upstreamSchema.parse({
		kind: 'upstream', name, dataCenter: 'a', state: 'live', service: 'seats', address: '127.0.0.1:1', slots: 2, connections: 8, ...fields,
	});
}

export function createConfiguration(profile: Record<string, unknown> = {}, teams: Record<string, unknown> = {}): Configuration {
	return configurationSchema.parse({
		version: 1, changeId: 'c', declarations: {profiles: {main: profile}, services: {seats: {profile: 'main'}}, teams},
	});
}

/** Runs the schedulers of several entry VMs on one manual clock, and records all starts. */
export class SchedulerHarness {
	readonly clock = new ManualClock();
	readonly starts: Start[] = [];
	readonly running = new Set<Start>();
	/** Tasks with a start that ended as not started. */
	readonly refusedTasks = new Set<string>();
	readonly abandoned: Array<{readonly task: string; readonly end: TaskEnd}> = [];
	readonly expired: string[] = [];
	readonly nodes: TestNode[] = [];
	readonly upstreams: PushStream<readonly ListedUpstream[]>;
	readonly configuration: PushStream<Configuration>;
	readonly #options: HarnessOptions;

	constructor(options: HarnessOptions = {}) {
		this.#options = options;
		this.upstreams = createPushStream(options.upstreams ?? [createUpstream('u1'), createUpstream('u2')]);
		this.configuration = createPushStream(createConfiguration(options.profile, options.teams));
		const nodeCount = options.nodeCount ?? 1;
		const incarnations = Array.from({length: nodeCount}, (_, index) => ({dataCenter: options.dataCenters?.[index] ?? 'a', vm: `vm${index}`, id: `vm${index}-0`}));
		for (const self of incarnations) {
			const members = createPushStream(toMembers(incarnations.filter(other => other !== self)));
			const index = this.nodes.length;
			const scheduler = createTaskScheduler({
				clock: this.clock,
				random: createSeededRandom(index),
				self,
				upstreams: this.upstreams.stream,
				configuration: this.configuration.stream,
				members: members.stream,
				sendControl: (to, message) => this.#send(index, to, message),
				events: new EventLog({clock: this.clock, process: self.id}),
				...(options.tuning && {tuning: options.tuning}),
			});
			this.nodes.push({self, scheduler, members});
		}
	}

	/** Creates a job of tasks that run until the test ends them. */
	createJob(id: string, taskCount: number, fields: Partial<ScheduledJob> & {needs?: ScheduledJob['tasks'][number]['needs']; isIdempotent?: boolean; vm?: string} = {}): ScheduledJob {
		return {
			id,
			service: 'seats',
			team: '',
			deadline: this.clock.getMonotonicTime() + 60_000,
			expire: () => {
				this.expired.push(id);
			},
			tasks: Array.from({length: taskCount}, (_, index) => ({
				needs: fields.needs ?? {},
				isIdempotent: fields.isIdempotent ?? false,
				run: async (upstream: ListedUpstream, attempt: number) => this.#run(fields.vm ?? '', `${id}/${index}`, upstream, attempt),
				abandon: (end: TaskEnd) => {
					this.abandoned.push({task: `${id}/${index}`, end});
				},
			})),
			...fields,
		};
	}

	/** Ends a running task. */
	async end(start: Start, end: TaskEnd = answered): Promise<void> {
		start.end(end);
		await this.clock.advance(0);
	}

	/** Gets the tasks started so far. */
	getStartedTasks(): readonly string[] {
		return this.starts.map(start => start.task);
	}

	async close(): Promise<void> {
		for (const {scheduler} of this.nodes) {
			await scheduler.close();
		}
	}

	async #run(vm: string, task: string, upstream: ListedUpstream, attempt: number): Promise<TaskEnd> {
		return new Promise(resolve => {
			const start: Start = {
				vm,
				task,
				upstream: upstream.name,
				attempt,
				end: end => {
					this.running.delete(start);
					if (end.kind === 'not_started') {
						this.refusedTasks.add(task);
					}

					resolve(end);
				},
			};
			this.starts.push(start);
			this.running.add(start);
		});
	}

	#send(from: number, to: string, message: ControlMessage): boolean {
		const target = this.nodes.findIndex(node => node.self.id === to);
		const send = (): void => {
			this.nodes[target]?.scheduler.handleControl(structuredClone(message), this.nodes[from]!.self.id);
		};

		(this.#options.deliver ?? (deliverNow => {
			deliverNow();
		}))(send, from, target);
		return true;
	}
}

export function toMembers(incarnations: readonly Incarnation[], state: Member['state'] = 'up'): readonly Member[] {
	return incarnations.map(incarnation => ({
		incarnation, state, isLeaving: false, peerAddress: '127.0.0.1:1', configurationVersion: 1, claims: {}, cores: 1,
	}));
}

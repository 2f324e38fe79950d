/**
 * Scheduler of one entry VM, which exchanges slots with the schedulers of the others.
 */
import {type Stream} from 'most';
import {type ControlMessage, type Member} from '../../connection/index.js';
import {systemClock, systemRandom, type Timer} from '../../seams/index.js';
import {type Configuration, emptyConfiguration} from '../../version/index.js';
import {type Admission, type ScheduledJob, type SchedulerStatus} from '../task-scheduler.js';
import {createMemberView} from './member-view.js';
import {Outbox} from './outbox.js';
import {OutboxTable} from './outbox-table.js';
import {createSchedulerCounters, type SchedulerCounters} from './scheduler-counters.js';
import {type SchedulerContext} from './scheduler-context.js';
import {defaultTuning, type SchedulerTuning} from './scheduler-tuning.js';
import {ServiceTable} from './service-table.js';
import {parseSlotMessage, slotTopic} from './slot-messages.js';
import {type SlotScheduler, type TaskSchedulerOptions} from './task-scheduler-options.js';
import {TeamQuotas} from './team-quotas.js';

/** Interval at which the claims of lease holders are requested, in milliseconds. */
const claimRequestIntervalMs = 5000;

/**
 * Scheduler of one entry VM: has one queue per service, and exchanges messages with the schedulers of the other entry VMs.
 * @internal
 */
export class DistributedTaskScheduler implements SlotScheduler {
	readonly #options: TaskSchedulerOptions;
	readonly #context: SchedulerContext;
	readonly #tuning: SchedulerTuning;
	readonly #counters = createSchedulerCounters();
	readonly #services: ServiceTable;
	readonly #outboxes: OutboxTable;
	readonly #subscriptions: ReadonlyArray<{unsubscribe(): void}>;
	readonly #claimRequestTimer: Timer;
	readonly #quotas: TeamQuotas;
	#configuration: Configuration = emptyConfiguration;
	#pumpTimer: Timer | undefined;
	#members: readonly Member[] = [];
	#isStopping = false;
	#isClosed = false;

	constructor(options: TaskSchedulerOptions) {
		this.#options = options;
		this.#tuning = {...defaultTuning, ...options.tuning};
		const view = createMemberView(options.self, []);
		const clock = options.clock ?? systemClock;
		this.#context = {
			clock,
			random: options.random ?? systemRandom,
			self: options.self,
			events: options.events,
			counters: this.#counters,
			getOutbox: memberId => this.#outboxes.getOutbox(memberId),
		};
		this.#outboxes = new OutboxTable(memberId => this.#createOutbox(memberId), view);
		this.#quotas = new TeamQuotas({
			context: this.#context, onChange: () => {
				this.#schedulePump();
			},
		}, view);
		this.#services = new ServiceTable({
			context: this.#context, limits: this.#quotas, tuning: this.#tuning, ...(options.policies && {policies: options.policies}),
		}, view);
		this.#claimRequestTimer = clock.setRepeatingTimer(() => {
			this.#requestClaims();
		}, claimRequestIntervalMs);
		this.#subscriptions = [
			subscribe(options.members, members => {
				this.#setMembers(members);
			}),
			subscribe(options.configuration, configuration => {
				this.#setConfiguration(configuration);
			}),
			subscribe(options.upstreams, upstreams => {
				this.#services.setUpstreams(upstreams);
			}),
		];
	}

	addJob(job: ScheduledJob): Admission {
		const admission = this.#admit(job);
		if (admission.admitted) {
			this.#counters.admittedJobs++;
		} else {
			this.#counters.refusedJobs[admission.reason]++;
		}

		return admission;
	}

	removeJob(jobId: string): number {
		for (const service of this.#services.getServices()) {
			const dropped = service.removeJob(jobId);
			if (dropped > 0) {
				return dropped;
			}
		}

		return 0;
	}

	getStatus(): SchedulerStatus {
		const services = [...this.#services.getServices()];
		return {
			upstreams: services.flatMap(service => service.getUpstreamStatus()),
			queues: services.map(service => service.getQueueStatus()),
			teams: this.#quotas.getStatus(),
		};
	}

	getCounters(): Readonly<SchedulerCounters> {
		return this.#counters;
	}

	handleControl(message: ControlMessage, fromIncarnationId: string): void {
		const slotMessage = message.topic === slotTopic ? parseSlotMessage(message.body) : undefined;
		const outbox = this.#outboxes.getOutbox(fromIncarnationId);
		if (!slotMessage || !outbox || slotMessage.number <= outbox.lastReceived || this.#isClosed) {
			this.#counters.ignoredMessages++;
			return;
		}

		outbox.lastReceived = slotMessage.number;
		for (const update of slotMessage.services) {
			this.#services.getService(update.service)?.handleUpdate(update, fromIncarnationId, slotMessage.lastReceived);
		}

		for (const update of slotMessage.teams) {
			this.#quotas.handleUpdate(update, fromIncarnationId);
		}
	}

	handlePause(): void {
		this.#services.handlePause();
	}

	confirmView(): void {
		this.#services.confirmView();
	}

	handleStopping(): void {
		this.#isStopping = true;
		this.#setMembers(this.#members);
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		this.#claimRequestTimer.close();
		this.#quotas.close();
		this.#pumpTimer?.close();
		for (const subscription of this.#subscriptions) {
			subscription.unsubscribe();
		}

		this.#services.close();
		this.#outboxes.close();
	}

	#admit(job: ScheduledJob): Admission {
		if (this.#isClosed) {
			return {admitted: false, reason: 'stopping', detail: 'The entry VM is stopping'};
		}

		const service = this.#services.getService(job.service);
		if (!service) {
			return {admitted: false, reason: 'unknown-service', detail: `No service "${job.service}" is configured`};
		}

		if (job.team !== '' && !this.#configuration.declarations.teams[job.team]) {
			return {admitted: false, reason: 'unknown-team', detail: `No team "${job.team}" is configured`};
		}

		return service.addJob(job);
	}

	#setMembers(members: readonly Member[]): void {
		this.#members = members;
		const view = createMemberView(this.#options.self, members, this.#isStopping);
		this.#outboxes.setMembers(view);
		this.#quotas.setMembers(view);
		this.#services.setMembers(view);
	}

	#setConfiguration(configuration: Configuration): void {
		this.#configuration = configuration;
		this.#quotas.setTeams(configuration.declarations.teams);
		this.#services.setDeclarations(configuration.declarations);
	}

	#schedulePump(): void {
		this.#pumpTimer ??= this.#context.clock.setTimer(() => {
			this.#pumpTimer = undefined;
			for (const service of this.#services.getServices()) {
				service.schedule();
			}
		}, 0);
	}

	#requestClaims(): void {
		for (const service of this.#services.getServices()) {
			service.getPool().getGrantedLeases().requestClaims();
		}
	}

	#createOutbox(memberId: string): Outbox {
		return new Outbox({
			clock: this.#context.clock,
			counters: this.#counters,
			batchMs: this.#tuning.batchMs,
			send: message => this.#options.sendControl(memberId, {topic: slotTopic, body: message}),
			getClaims: service => this.#services.getService(service)?.getPool().getHeldLeases().getClaims(memberId) ?? [],
		});
	}
}

function subscribe<T>(stream: Stream<T>, onValue: (value: T) => void): {unsubscribe(): void} {
	return stream.subscribe({
		next: onValue,
		error(err) {
			throw err;
		},
		complete: () => undefined,
	});
}

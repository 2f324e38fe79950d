import {type Stream} from 'most';
import {type ControlMessage, type Member} from '../../connection/index.js';
import {type ListedUpstream} from '../../platform/index.js';
import {systemClock, systemRandom, type Timer} from '../../seams/index.js';
import {type Configuration, emptyConfiguration, type Profile} from '../../version/index.js';
import {type Admission, type ScheduledJob, type SchedulerStatus} from '../task-scheduler.js';
import {createMemberView, type MemberView} from './member-view.js';
import {Outbox} from './outbox.js';
import {createSchedulerCounters, type SchedulerCounters} from './scheduler-counters.js';
import {type SchedulerContext} from './scheduler-context.js';
import {defaultTuning, type SchedulerTuning} from './scheduler-tuning.js';
import {ServiceScheduler} from './service-scheduler.js';
import {parseSlotMessage, slotTopic} from './slot-messages.js';
import {type SlotScheduler, type TaskSchedulerOptions} from './task-scheduler-options.js';
import {TeamQuotas} from './team-quotas.js';

/** Time after which holders are asked for the leases they hold, in milliseconds. */
const askHoldersMs = 5000;

/**
 * Scheduler of one entry VM: one queue a service, and messages to the schedulers of the other entry VMs.
 * @internal
 */
export class DistributedTaskScheduler implements SlotScheduler {
	readonly #options: TaskSchedulerOptions;
	readonly #context: SchedulerContext;
	readonly #tuning: SchedulerTuning;
	readonly #counters = createSchedulerCounters();
	readonly #services = new Map<string, ServiceScheduler>();
	readonly #outboxes = new Map<string, Outbox>();
	readonly #subscriptions: ReadonlyArray<{unsubscribe(): void}>;
	readonly #askTimer: Timer;
	readonly #quotas: TeamQuotas;
	#configuration: Configuration = emptyConfiguration;
	#upstreams: readonly ListedUpstream[] = [];
	#view: MemberView;
	#pumpTimer: Timer | undefined;
	#members: readonly Member[] = [];
	#isStopping = false;
	#isPaused = false;
	#isClosed = false;
	/** Whether the last messages were sent; tasks that end later tell nobody. */
	#areMessagesClosed = false;

	constructor(options: TaskSchedulerOptions) {
		this.#options = options;
		this.#tuning = {...defaultTuning, ...options.tuning};
		this.#view = createMemberView(options.self, []);
		const clock = options.clock ?? systemClock;
		this.#context = {
			clock,
			random: options.random ?? systemRandom,
			self: options.self,
			events: options.events,
			counters: this.#counters,
			getOutbox: memberId => this.#getOutbox(memberId),
		};
		this.#quotas = new TeamQuotas({
			context: this.#context, onChange: () => {
				this.#pumpSoon();
			},
		}, this.#view);
		this.#askTimer = clock.setRepeatingTimer(() => {
			this.#askHolders();
		}, askHoldersMs);
		this.#subscriptions = [
			subscribe(options.members, members => {
				this.#setMembers(members);
			}),
			subscribe(options.configuration, configuration => {
				this.#setConfiguration(configuration);
			}),
			subscribe(options.upstreams, upstreams => {
				this.#setUpstreams(upstreams);
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
		for (const service of this.#services.values()) {
			const dropped = service.removeJob(jobId);
			if (dropped > 0) {
				return dropped;
			}
		}

		return 0;
	}

	getStatus(): SchedulerStatus {
		const services = [...this.#services.values()];
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
		const outbox = this.#getOutbox(fromIncarnationId);
		if (!slotMessage || !outbox || slotMessage.number <= outbox.lastReceived || this.#isClosed) {
			this.#counters.ignoredMessages++;
			return;
		}

		outbox.lastReceived = slotMessage.number;
		for (const update of slotMessage.services) {
			this.#services.get(update.service)?.takeUpdate(update, fromIncarnationId, slotMessage.lastReceived);
		}

		for (const update of slotMessage.teams) {
			this.#quotas.takeUpdate(update, fromIncarnationId);
		}
	}

	handlePause(): void {
		this.#isPaused = true;
		for (const service of this.#services.values()) {
			service.handlePause();
		}
	}

	confirmView(): void {
		this.#isPaused = false;
		for (const service of this.#services.values()) {
			service.confirmView();
		}
	}

	handleStopping(): void {
		this.#isStopping = true;
		this.#setMembers(this.#members);
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		this.#askTimer.close();
		this.#quotas.close();
		this.#pumpTimer?.close();
		for (const subscription of this.#subscriptions) {
			subscription.unsubscribe();
		}

		for (const service of this.#services.values()) {
			service.close();
		}

		for (const outbox of this.#outboxes.values()) {
			outbox.flush();
			outbox.close();
		}

		this.#areMessagesClosed = true;
	}

	#admit(job: ScheduledJob): Admission {
		if (this.#isClosed) {
			return {admitted: false, reason: 'stopping', detail: 'The entry VM is stopping'};
		}

		const service = this.#services.get(job.service);
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
		this.#view = createMemberView(this.#options.self, members, this.#isStopping);
		for (const [memberId, outbox] of this.#outboxes) {
			if (!this.#view.up.has(memberId)) {
				outbox.close();
			}

			if (!this.#view.dataCenters.has(memberId)) {
				this.#outboxes.delete(memberId);
			}
		}

		this.#quotas.setMembers(this.#view);
		for (const service of this.#services.values()) {
			service.setMembers(this.#view);
		}
	}

	#setConfiguration(configuration: Configuration): void {
		this.#configuration = configuration;
		this.#quotas.setTeams(configuration.declarations.teams);
		const {services} = configuration.declarations;
		for (const [name, service] of this.#services) {
			if (!services[name]) {
				service.close();
				this.#services.delete(name);
			}
		}

		for (const name of Object.keys(services)) {
			this.#setService(name, this.#getProfile(name));
		}
	}

	#setService(name: string, profile: Profile | undefined): void {
		if (!profile) {
			return;
		}

		const known = this.#services.get(name);
		if (known) {
			known.setProfile(profile);
			known.setUpstreams(this.#getUpstreams(name, profile));
			return;
		}

		const created = new ServiceScheduler({
			service: name,
			profile,
			context: this.#context,
			limits: this.#quotas,
			tuning: this.#tuning,
			...(this.#options.decisions && {decisions: this.#options.decisions}),
		}, this.#view);
		this.#services.set(name, created);
		if (this.#isPaused) {
			created.handlePause();
		}

		created.setUpstreams(this.#getUpstreams(name, profile));
	}

	#setUpstreams(upstreams: readonly ListedUpstream[]): void {
		this.#upstreams = upstreams;
		for (const [name, service] of this.#services) {
			service.setUpstreams(this.#getUpstreams(name, service.getProfile()));
		}
	}

	#getUpstreams(service: string, profile: Profile): readonly ListedUpstream[] {
		const {dataCenter} = this.#options.self;
		return this.#upstreams.filter(upstream => upstream.service === service
			&& (profile.spillToOtherDataCenters || upstream.dataCenter === dataCenter));
	}

	#getProfile(service: string): Profile | undefined {
		const {services, profiles} = this.#configuration.declarations;
		return profiles[services[service]!.profile];
	}

	#pumpSoon(): void {
		this.#pumpTimer ??= this.#context.clock.setTimer(() => {
			this.#pumpTimer = undefined;
			for (const service of this.#services.values()) {
				service.pump();
			}
		}, 0);
	}

	#askHolders(): void {
		for (const service of this.#services.values()) {
			service.getPool().getGranted().askHolders();
		}
	}

	#getOutbox(memberId: string): Outbox | undefined {
		if (this.#areMessagesClosed || !this.#view.up.has(memberId)) {
			return undefined;
		}

		const known = this.#outboxes.get(memberId);
		if (known) {
			return known;
		}

		const created = new Outbox({
			clock: this.#context.clock,
			counters: this.#counters,
			batchMs: this.#tuning.batchMs,
			send: message => this.#options.sendControl(memberId, {topic: slotTopic, body: message}),
			getClaims: service => this.#services.get(service)?.getPool().getHeld().getClaims(memberId) ?? [],
		});
		this.#outboxes.set(memberId, created);
		return created;
	}
}

function subscribe<T>(stream: Stream<T>, next: (value: T) => void): {unsubscribe(): void} {
	return stream.subscribe({
		next,
		error(err) {
			throw err;
		},
		complete: () => undefined,
	});
}

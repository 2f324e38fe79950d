/**
 * Exchange of slots of one service between entry VMs.
 */
import {type Profile} from '../../version/index.js';
import {type MemberView} from './member-view.js';
import {DemandBook, type KnownDemand} from './demand-book.js';
import {type JobOrder} from './job-order.js';
import {type LocalDemand} from './local-demand.js';
import {type TaskGroup} from './queued-job.js';
import {type SchedulerContext} from './scheduler-context.js';
import {type SchedulerTuning} from './scheduler-tuning.js';
import {type ServiceUpdate, type SlotDemand} from './slot-messages.js';
import {type SlotPool} from './slot-pool.js';
import {type UpstreamEntry} from './upstream-entry.js';

/** Options of a {@link LeaseBroker}. */
export type LeaseBrokerOptions = {
	readonly service: string;
	readonly context: SchedulerContext;
	readonly pool: SlotPool;
	readonly tuning: SchedulerTuning;
	readonly getProfile: () => Profile;
};

/** Bounds of the time for which a demand is told, in milliseconds. */
const minDemandMs = 50;
const maxDemandMs = 1000;

/** Growth of the wanted number of slots that is worth telling. */
const demandGrowth = 2;

/** Least number of slots asked of one member. */
const minAsked = 4;

/**
 * Moves slots of one service between entry VMs, to where the most urgent jobs are.
 * @internal
 */
export class LeaseBroker {
	readonly #options: LeaseBrokerOptions;
	readonly #context: SchedulerContext;
	readonly #pool: SlotPool;
	readonly #tuning: SchedulerTuning;
	readonly #demands = new DemandBook();
	#view: MemberView;
	#firstAsked = 0;
	/** Whether a batch of idle slots is being leased out. */
	#isGranting = false;

	constructor(options: LeaseBrokerOptions, view: MemberView) {
		this.#options = options;
		this.#context = options.context;
		this.#pool = options.pool;
		this.#tuning = options.tuning;
		this.#view = view;
	}

	/**
	 * Takes a new view of the members.
	 * @param view - New view.
	 */
	setMembers(view: MemberView): void {
		this.#view = view;
		for (const member of this.#demands.getMembers()) {
			if (!view.up.has(member)) {
				this.#demands.removeMember(member);
			}
		}
	}

	/**
	 * Takes what another member says about the service.
	 * @param update - What it says.
	 * @param from - The member.
	 * @param lastReceived - Number of the last message that it had taken from here.
	 * @param order - Order in force.
	 */
	takeUpdate(update: ServiceUpdate, from: string, lastReceived: number, order: JobOrder): void {
		if (update.returned) {
			this.#demands.addReceived(from, update.returned.length);
			this.#pool.getGranted().takeReturned(update.returned, from);
		}

		if (update.granted) {
			this.#demands.addReceived(from, update.granted.length);
			this.#pool.getHeld().takeGranted(update.granted, from);
		}

		if (update.revoked) {
			this.#pool.getHeld().takeRevoked(update.revoked);
		}

		if (update.claims) {
			this.#pool.getGranted().takeClaims(update.claims, from, lastReceived);
		}

		if (update.claimRound !== undefined) {
			this.#context.getOutbox(from)?.setClaims(this.#options.service, update.claimRound);
		}

		if (update.demand) {
			const now = this.#context.clock.getMonotonicTime();
			const rank = update.demand.urgency + (order.rankPerMs * now);
			const isLocal = this.#view.dataCenters.get(from) === this.#context.self.dataCenter;
			this.#demands.setKnown({
				member: from, count: update.demand.count, urgentCount: update.demand.urgentCount, rank, validUntil: now + update.demand.validMs, isLocal, hasSlots: update.demand.hasSlots,
			});
		}
	}

	/**
	 * Leases one free slot to the most urgent demand if that goes before the next local task; false when none did.
	 * @param next - Part of a job that would start otherwise.
	 * @param order - Order in force.
	 */
	grantOne(next: TaskGroup | undefined, order: JobOrder): boolean {
		const demand = this.#demands.getMostUrgent(this.#context.clock.getMonotonicTime());
		if (!demand) {
			return false;
		}

		if (!(next ? this.#isUrgent(demand, next, order) : this.#isIdleEnough(demand))) {
			return false;
		}

		if (!this.#pool.getGranted().grantLease(demand.member)) {
			return false;
		}

		this.#demands.addGranted(demand.member, 1);
		return true;
	}

	/**
	 * Gives back idle leases that their owner needs more, and those that were idle for long.
	 * @param local - What waits here.
	 */
	returnLeases(local: LocalDemand): void {
		const oldest = this.#pool.getTable().getOldestIdleTime();
		if (oldest === undefined) {
			return;
		}

		const now = this.#context.clock.getMonotonicTime();
		const isDue = now - oldest >= this.#tuning.leaseIdleMs;
		this.#pool.getHeld().returnIdle((_lease, entry) => isDue || this.#isWantedBack(entry, local, now));
	}

	/** Gets the monotonic time at which idle leases are due; `undefined` when there are none. */
	getReturnTime(): number | undefined {
		const oldest = this.#pool.getTable().getOldestIdleTime();
		return oldest === undefined ? undefined : oldest + this.#tuning.leaseIdleMs;
	}

	/**
	 * Tells the other owners what is wanted here, where that is news; gets the time to look again.
	 * @param local - What waits here.
	 */
	tellDemand(local: LocalDemand): number | undefined {
		const isUrgent = local.urgentWaitMs >= this.#options.getProfile().leaseWaitMs;
		const isShortWait = local.hasSlots && !isUrgent && local.waitMs < this.#tuning.demandWaitMs;
		if (!local.next || isShortWait) {
			return undefined;
		}

		const asked = this.#chooseAsked(local);
		const count = Math.max(Math.ceil(local.readyTasks / Math.max(asked.length, 1)), Math.min(minAsked, local.readyTasks));
		let lookAgain: number | undefined;
		for (const member of asked) {
			const time = this.#tellMember(member, count, local);
			lookAgain = Math.min(lookAgain ?? time, time);
		}

		return lookAgain;
	}

	#chooseAsked(local: LocalDemand): readonly string[] {
		const owners = this.#pool.getOtherOwners(true);
		const remote = local.maySpill ? this.#pool.getOtherOwners(false) : [];
		const candidates = [...new Set([...this.#pool.getGranted().getHolders(), ...owners, ...remote])];
		const wanted = Math.min(candidates.length, this.#tuning.demandFanOut, Math.ceil(local.readyTasks / minAsked));
		if (wanted === candidates.length) {
			return candidates;
		}

		const now = this.#context.clock.getMonotonicTime();
		const told = candidates.filter(member => this.#demands.getTold(member, now));
		if (told.length >= wanted) {
			return told;
		}

		this.#firstAsked++;
		const others = candidates.filter(member => !told.includes(member));
		const added = Array.from({length: wanted - told.length}, (_, index) => others[(this.#firstAsked + index) % others.length]!);
		return [...told, ...added];
	}

	#tellMember(member: string, count: number, local: LocalDemand): number {
		const now = this.#context.clock.getMonotonicTime();
		const {rank} = local.next!;
		const told = this.#demands.getTold(member, now);
		const isUrgent = local.urgentWaitMs >= this.#options.getProfile().leaseWaitMs;
		const isMoreUrgent = isUrgent && told && (told.urgentCount <= 0 || rank + this.#getMargin(local.order) < told.rank);
		if (told && !isMoreUrgent && count <= told.count * demandGrowth) {
			return told.validUntil;
		}

		const earliest = this.#demands.getToldAt(member) + this.#tuning.demandIntervalMs;
		if (now < earliest) {
			return earliest;
		}

		const validMs = Math.min(Math.max(local.waitMs, minDemandMs), maxDemandMs);
		const urgentCount = isUrgent ? Math.min(local.urgentTasks, count) : 0;
		const urgency = rank - (local.order.rankPerMs * now);
		const demand: SlotDemand = {
			count, urgentCount, urgency, validMs, hasSlots: local.hasSlots,
		};
		this.#demands.setTold(member, demand, rank, now);
		this.#context.getOutbox(member)?.setDemand(this.#options.service, demand);
		this.#context.events.addEvent('lease-asked', member, `${count} slots of ${this.#options.service}`);
		return now + validMs;
	}

	#isWantedBack(entry: UpstreamEntry, local: LocalDemand, now: number): boolean {
		const demand = entry.owner === undefined ? undefined : this.#demands.getKnown(entry.owner, now);
		if (!demand) {
			return false;
		}

		if (local.next && demand.isLocal && !this.#isUrgent(demand, local.next, local.order)) {
			return false;
		}

		this.#demands.addGranted(demand.member, 1);
		return true;
	}

	#isUrgent(demand: KnownDemand, next: TaskGroup, order: JobOrder): boolean {
		return demand.isLocal && demand.urgentCount > 0 && demand.rank + this.#getMargin(order) < next.rank;
	}

	/** Tells whether idle slots are to be leased out: several at a time, and the last ones only to a member that has none. */
	#isIdleEnough(demand: KnownDemand): boolean {
		const free = this.#pool.getTable().getGrantableSlots();
		if (demand.isLocal && !demand.hasSlots) {
			return free > 0;
		}

		const owned = this.#pool.getTable().getOwnedSlots();
		const reserved = Math.round(owned * (demand.isLocal ? this.#tuning.reservedPart : this.#tuning.spillReserve));
		const batch = Math.max(Math.round(owned * this.#tuning.grantPart), 1);
		if (free <= reserved) {
			this.#isGranting = false;
			return false;
		}

		this.#isGranting ||= free >= reserved + Math.min(batch, demand.count);
		return this.#isGranting;
	}

	#getMargin(order: JobOrder): number {
		return order.leaseMargin * Math.log2(this.#options.getProfile().leaseLead);
	}
}

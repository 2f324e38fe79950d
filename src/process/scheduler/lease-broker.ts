/**
 * Exchange of the slots of one service between entry VMs.
 */
import {type Profile} from '../../version/index.js';
import {type MemberView} from './member-view.js';
import {DemandTable, type ReceivedDemand} from './demand-table.js';
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

/** Bounds of the time for which a demand is valid, in milliseconds. */
const minDemandValidityMs = 50;
const maxDemandValidityMs = 1000;

/** An unexpired demand is sent again if the number of wanted slots has grown by more than this factor. */
const demandGrowthFactor = 2;

/** Minimum number of slots requested from one member. */
const minSlotsPerRequest = 4;

/**
 * Requests, grants and returns leases of the slots of one service, so that they serve the most urgent jobs.
 * @internal
 */
export class LeaseBroker {
	readonly #options: LeaseBrokerOptions;
	readonly #context: SchedulerContext;
	readonly #pool: SlotPool;
	readonly #tuning: SchedulerTuning;
	readonly #demands = new DemandTable();
	#view: MemberView;
	/** Offset of the first additional recipient of a demand; it rotates over the candidates. */
	#recipientRotation = 0;
	/** Whether idle slots are being leased out, until only the reserve is left. */
	#isLeasingOut = false;

	constructor(options: LeaseBrokerOptions, view: MemberView) {
		this.#options = options;
		this.#context = options.context;
		this.#pool = options.pool;
		this.#tuning = options.tuning;
		this.#view = view;
	}

	/**
	 * Updates the members; removes the demand of and to those that are not up.
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
	 * Handles an update of the service from another member.
	 * @param update - Update received.
	 * @param from - Identifier of the member.
	 * @param lastReceived - Number of the last message that the member had received from this entry VM.
	 * @param order - Current job order.
	 */
	handleUpdate(update: ServiceUpdate, from: string, lastReceived: number, order: JobOrder): void {
		if (update.returned) {
			this.#demands.countReceivedSlots(from, update.returned.length);
			this.#pool.getGrantedLeases().handleReturned(update.returned, from);
		}

		if (update.granted) {
			this.#demands.countReceivedSlots(from, update.granted.length);
			this.#pool.getHeldLeases().handleGranted(update.granted, from);
		}

		if (update.revoked) {
			this.#pool.getHeldLeases().handleRevoked(update.revoked);
		}

		if (update.claims) {
			this.#pool.getGrantedLeases().handleClaims(update.claims, from, lastReceived);
		}

		if (update.claimRound !== undefined) {
			this.#context.getOutbox(from)?.addClaims(this.#options.service, update.claimRound);
		}

		if (update.demand) {
			const now = this.#context.clock.getMonotonicTime();
			const rank = update.demand.urgency + (order.rankPerMs * now);
			const isLocal = this.#view.dataCenters.get(from) === this.#context.self.dataCenter;
			this.#demands.setReceived({
				member: from, count: update.demand.count, urgentCount: update.demand.urgentCount, rank, validUntil: now + update.demand.validMs, isLocal, hasSlots: update.demand.hasSlots,
			});
		}
	}

	/**
	 * Leases one free slot to the most urgent demand if that has priority over the next local task; returns whether it did.
	 * @param nextGroup - Group whose task would start next, if any.
	 * @param order - Current job order.
	 */
	tryGrantLease(nextGroup: TaskGroup | undefined, order: JobOrder): boolean {
		const demand = this.#demands.getMostUrgent(this.#context.clock.getMonotonicTime());
		if (!demand) {
			return false;
		}

		if (!(nextGroup ? this.#isUrgent(demand, nextGroup, order) : this.#hasIdleSlotsFor(demand))) {
			return false;
		}

		if (!this.#pool.getGrantedLeases().grantLease(demand.member)) {
			return false;
		}

		this.#demands.countGrantedSlots(demand.member, 1);
		return true;
	}

	/**
	 * Returns idle leases whose owner has the more urgent demand, and all of them once one has reached the idle timeout.
	 * @param local - Demand of this entry VM.
	 */
	returnLeases(local: LocalDemand): void {
		const oldest = this.#pool.getUpstreamTable().getOldestIdleTime();
		if (oldest === undefined) {
			return;
		}

		const now = this.#context.clock.getMonotonicTime();
		const isDue = now - oldest >= this.#tuning.leaseIdleMs;
		this.#pool.getHeldLeases().returnIdle((_lease, entry) => isDue || this.#isNeededByOwner(entry, local, now));
	}

	/** Gets the monotonic time at which idle leases are due to be returned; `undefined` when there are none. */
	getReturnTime(): number | undefined {
		const oldest = this.#pool.getUpstreamTable().getOldestIdleTime();
		return oldest === undefined ? undefined : oldest + this.#tuning.leaseIdleMs;
	}

	/**
	 * Sends the demand of this entry VM to other owners, unless they already have a similar one. Returns the monotonic time at
	 * which to call it again; `undefined` when no slot is requested.
	 * @param local - Demand of this entry VM.
	 */
	sendDemand(local: LocalDemand): number | undefined {
		const isUrgent = local.urgentWaitMs >= this.#options.getProfile().leaseWaitMs;
		const isShortWait = local.hasSlots && !isUrgent && local.waitMs < this.#tuning.demandWaitMs;
		if (!local.nextGroup || isShortWait) {
			return undefined;
		}

		const recipients = this.#chooseRecipients(local);
		const count = Math.max(Math.ceil(local.readyTasks / Math.max(recipients.length, 1)), Math.min(minSlotsPerRequest, local.readyTasks));
		let nextTime: number | undefined;
		for (const member of recipients) {
			const time = this.#sendDemandTo(member, count, local);
			nextTime = Math.min(nextTime ?? time, time);
		}

		return nextTime;
	}

	#chooseRecipients(local: LocalDemand): readonly string[] {
		const owners = this.#pool.getOtherOwners(true);
		const remote = local.maySpill ? this.#pool.getOtherOwners(false) : [];
		const candidates = [...new Set([...this.#pool.getGrantedLeases().getHolders(), ...owners, ...remote])];
		const recipientCount = Math.min(candidates.length, this.#tuning.demandFanOut, Math.ceil(local.readyTasks / minSlotsPerRequest));
		if (recipientCount === candidates.length) {
			return candidates;
		}

		const now = this.#context.clock.getMonotonicTime();
		const current = candidates.filter(member => this.#demands.getSent(member, now));
		if (current.length >= recipientCount) {
			return current;
		}

		this.#recipientRotation++;
		const additionalCandidates = candidates.filter(member => !current.includes(member));
		const added = Array.from({length: recipientCount - current.length}, (_, index) => additionalCandidates[(this.#recipientRotation + index) % additionalCandidates.length]!);
		return [...current, ...added];
	}

	#sendDemandTo(member: string, count: number, local: LocalDemand): number {
		const now = this.#context.clock.getMonotonicTime();
		const {rank} = local.nextGroup!;
		const sent = this.#demands.getSent(member, now);
		const isUrgent = local.urgentWaitMs >= this.#options.getProfile().leaseWaitMs;
		const isMoreUrgent = isUrgent && sent && (sent.urgentCount <= 0 || rank + this.#getMargin(local.order) < sent.rank);
		if (sent && !isMoreUrgent && count <= sent.count * demandGrowthFactor) {
			return sent.validUntil;
		}

		const earliest = this.#demands.getLastSentTime(member) + this.#tuning.demandIntervalMs;
		if (now < earliest) {
			return earliest;
		}

		const validMs = Math.min(Math.max(local.waitMs, minDemandValidityMs), maxDemandValidityMs);
		const urgentCount = isUrgent ? Math.min(local.urgentTasks, count) : 0;
		const urgency = rank - (local.order.rankPerMs * now);
		const demand: SlotDemand = {
			count, urgentCount, urgency, validMs, hasSlots: local.hasSlots,
		};
		this.#demands.setSent(member, demand, rank, now);
		this.#context.getOutbox(member)?.setDemand(this.#options.service, demand);
		this.#context.events.addEvent('lease-asked', member, `${count} slots of ${this.#options.service}`);
		return now + validMs;
	}

	#isNeededByOwner(entry: UpstreamEntry, local: LocalDemand, now: number): boolean {
		const demand = entry.owner === undefined ? undefined : this.#demands.getReceived(entry.owner, now);
		if (!demand) {
			return false;
		}

		if (local.nextGroup && demand.isLocal && !this.#isUrgent(demand, local.nextGroup, local.order)) {
			return false;
		}

		this.#demands.countGrantedSlots(demand.member, 1);
		return true;
	}

	#isUrgent(demand: ReceivedDemand, nextGroup: TaskGroup, order: JobOrder): boolean {
		return demand.isLocal && demand.urgentCount > 0 && demand.rank + this.#getMargin(order) < nextGroup.rank;
	}

	/** Gets whether idle slots are leased out for a demand: in batches, and the reserve only to a local member without a slot. */
	#hasIdleSlotsFor(demand: ReceivedDemand): boolean {
		const free = this.#pool.getUpstreamTable().getGrantableSlots();
		if (demand.isLocal && !demand.hasSlots) {
			return free > 0;
		}

		const owned = this.#pool.getUpstreamTable().getOwnedSlots();
		const reserved = Math.round(owned * (demand.isLocal ? this.#tuning.reservedPart : this.#tuning.spillReserve));
		const batch = Math.max(Math.round(owned * this.#tuning.grantPart), 1);
		if (free <= reserved) {
			this.#isLeasingOut = false;
			return false;
		}

		this.#isLeasingOut ||= free >= reserved + Math.min(batch, demand.count);
		return this.#isLeasingOut;
	}

	#getMargin(order: JobOrder): number {
		return order.leaseMargin * Math.log2(this.#options.getProfile().leaseLead);
	}
}

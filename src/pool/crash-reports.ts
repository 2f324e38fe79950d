/**
 * Reports of failed runs to the other entry VMs, so that the next owner of a job knows of them.
 */
import {type Member, type PeerNetwork} from '../connection/index.js';
import {type Clock, type Timer} from '../seams/index.js';
import {type CrashLedger, type FailedRun} from './crash-ledger.js';
import {type DecisionLog} from './decision-log.js';
import {failedRunsReportSchema, failedRunsTopic, maxReportedFailedRuns} from './pool-messages.js';

/** Options of {@link CrashReports}. */
export type CrashReportsOptions = {
	readonly clock: Clock;
	readonly ledger: CrashLedger;
	readonly peers: Pick<PeerNetwork, 'getMembers' | 'request' | 'sendControl'>;
	readonly log: DecisionLog;
};

/** Attempts to send one report: the connection may break during the first. */
const maxSendAttempts = 2;

/** Time for which runs that ended as failed are collected before they are sent, in milliseconds; lost ones and signs of crashes are reported at once. */
const batchMs = 100;

/**
 * Number of VMs that report what they know to a VM that has come up. With a smaller value, they may all have come up shortly before; with a larger one, it
 * gets the same runs more often.
 */
const reporterCount = 3;

const resolvedPromise = Promise.resolve();

/** Sends the failed runs of this process's pools to all VMs that are not down, and adds those that they send. */
export class CrashReports {
	readonly #options: CrashReportsOptions;
	readonly #unsubscribe: () => void;
	/** Incarnations that are up or silent, and know the failed runs. */
	#informed = new Set<string>();
	#unsent: FailedRun[] = [];
	#timer: Timer | undefined;

	constructor(options: CrashReportsOptions) {
		this.#options = options;
		this.#unsubscribe = options.ledger.subscribe((failedRuns, isOwn) => {
			if (isOwn) {
				this.#add(failedRuns);
			}
		});
	}

	/**
	 * Handles a report of another VM.
	 * @param body - Body of the message.
	 */
	handleReport(body: unknown): void {
		const report = failedRunsReportSchema.safeParse(body).data;
		if (report === undefined) {
			this.#options.log.warn({}, 'report of failed runs cannot be decoded');
			return;
		}

		this.#options.ledger.mergeFailedRuns(report.failedRuns);
	}

	/**
	 * Reports the failed runs that are known to each VM that has come up: it has started, or was not reachable. Some VMs do so, those with the lowest identifiers.
	 * @param members - Known entry VMs.
	 * @param selfId - Incarnation of this VM.
	 */
	handleMembers(members: readonly Member[], selfId: string): void {
		const upIds = members.filter(({state}) => state === 'up').map(({incarnation: {id}}) => id);
		const joinedIds = upIds.filter(id => !this.#informed.has(id));
		this.#informed = new Set(members.filter(({incarnation: {id}, state}) => state !== 'down' && (state === 'up' || this.#informed.has(id))).map(({incarnation: {id}}) => id));
		if (joinedIds.length === 0) {
			return;
		}

		const failedRuns = this.#options.ledger.getLastFailedRuns(maxReportedFailedRuns);
		if (failedRuns.length === 0) {
			return;
		}

		const message = {topic: failedRunsTopic, body: {failedRuns}};
		for (const joinedId of joinedIds) {
			if (upIds.filter(id => id !== joinedId && id < selfId).length < reporterCount) {
				this.#sendTo(joinedId, message);
			}
		}
	}

	/** Stops sending. */
	close(): void {
		this.#timer?.close();
		this.#unsubscribe();
	}

	#add(failedRuns: readonly FailedRun[]): void {
		this.#unsent.push(...failedRuns);
		if (failedRuns.some(({cause}) => cause !== 'failed' && cause !== 'lost')) {
			this.#send();
			return;
		}

		if (failedRuns.some(({cause}) => cause === 'lost')) {
			void this.#sendAfterCurrentTurn();
			return;
		}

		this.#timer ??= this.#options.clock.setTimer(() => {
			this.#send();
		}, batchMs);
	}

	/** Sends what is added in this turn of the event loop in one report: the runs of an upstream are lost together. */
	async #sendAfterCurrentTurn(): Promise<void> {
		await resolvedPromise;
		if (this.#unsent.length > 0) {
			this.#send();
		}
	}

	#send(): void {
		const failedRuns = this.#unsent.slice(0, maxReportedFailedRuns);
		this.#unsent = [];
		this.#timer?.close();
		this.#timer = undefined;
		const message = {topic: failedRunsTopic, body: {failedRuns}};
		for (const {incarnation, state} of this.#options.peers.getMembers()) {
			if (state !== 'down') {
				this.#sendTo(incarnation.id, message);
			}
		}
	}

	#sendTo(vmId: string, message: {readonly topic: string; readonly body: unknown}): void {
		if (!this.#options.peers.sendControl(vmId, message)) {
			void this.#request(vmId, message);
		}
	}

	/** Sends a report to a VM to which there is no link for messages. */
	async #request(vmId: string, message: {readonly topic: string; readonly body: unknown}): Promise<void> {
		for (let attempts = 0; attempts < maxSendAttempts; attempts++) {
			const {kind} = await this.#options.peers.request(vmId, message);
			if (kind === 'answered') {
				return;
			}
		}

		this.#options.log.info({peer: vmId}, 'failed runs could not be reported');
	}
}

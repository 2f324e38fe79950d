/**
 * Collects the events of several entry VMs and merges them.
 */
import * as z from 'zod';
import {type EntryVmTarget} from './entry-vm-targets.js';
import {type OperatorClient} from './operator-client.js';

const eventSchema = z.object({
	sequence: z.int(), logicalTime: z.number(), time: z.number(), process: z.string(), kind: z.string(), subject: z.string(), detail: z.string(),
}).readonly();
const eventsSchema = z.object({events: z.array(eventSchema)});

/** One event as reported by an entry VM. */
export type TimelineEvent = z.infer<typeof eventSchema>;

/** Events of several entry VMs, and the entry VMs that could not be reached. */
export type CollectedEvents = {
	readonly events: readonly TimelineEvent[];
	readonly unreachable: ReadonlyArray<{readonly name: string; readonly detail: string}>;
};

/** Selects events. */
export type TimelineFilter = {
	readonly job?: string;
	/** Wall-clock time in milliseconds since the Unix epoch. */
	readonly sinceTime?: number;
};

/** Options of a {@link TimelineCollector}. */
export type TimelineCollectorOptions = {
	readonly targets: readonly EntryVmTarget[];
	readonly client: OperatorClient;
};

/** Collects events from entry VMs incrementally: each call gets those since the previous one. */
export class TimelineCollector {
	readonly #options: TimelineCollectorOptions;
	readonly #nextSequences = new Map<string, number>();

	constructor(options: TimelineCollectorOptions) {
		this.#options = options;
	}

	/**
	 * Gets the events since the previous call, merged so that causes come before effects.
	 * @param filter - Events to return.
	 */
	async getNewEvents(filter: TimelineFilter = {}): Promise<CollectedEvents> {
		const answers = await Promise.all(this.#options.targets.map(async target => this.#fetchEvents(target, filter)));
		const events = answers.flatMap(answer => answer.events).sort(compareEvents);
		return {events, unreachable: answers.flatMap(answer => answer.unreachable)};
	}

	async #fetchEvents(target: EntryVmTarget, filter: TimelineFilter): Promise<CollectedEvents> {
		const {operatorAddress, name} = target;
		const from = this.#nextSequences.get(operatorAddress) ?? 0;
		const subject = filter.job === undefined ? '' : `&subject=${encodeURIComponent(filter.job)}`;
		const answer = await this.#options.client.getJson(operatorAddress, `/v1/events?from=${from}${subject}`, eventsSchema);
		if (!answer.ok) {
			return {events: [], unreachable: [{name, detail: answer.detail}]};
		}

		const {events} = answer.value;
		const last = events.at(-1);
		if (last !== undefined) {
			this.#nextSequences.set(operatorAddress, last.sequence + 1);
		}

		const {sinceTime = 0} = filter;
		return {events: events.filter(({time}) => time >= sinceTime), unreachable: []};
	}
}

function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
	return left.logicalTime - right.logicalTime || left.process.localeCompare(right.process) || left.sequence - right.sequence;
}

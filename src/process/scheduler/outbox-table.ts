/**
 * Outboxes of the other members.
 */
import {type MemberView} from './member-view.js';
import {type Outbox} from './outbox.js';

/**
 * Stores one outbox for each member, which is available while the member is up.
 * @internal
 */
export class OutboxTable {
	readonly #createOutbox: (memberId: string) => Outbox;
	readonly #outboxes = new Map<string, Outbox>();
	#view: MemberView;
	/** Whether the last messages were sent; tasks that end later send none. */
	#isClosed = false;

	constructor(createOutbox: (memberId: string) => Outbox, view: MemberView) {
		this.#createOutbox = createOutbox;
		this.#view = view;
	}

	/**
	 * Gets the outbox of a member; `undefined` when the member is not up or the table is closed.
	 * @param memberId - Identifier of the member.
	 */
	getOutbox(memberId: string): Outbox | undefined {
		if (this.#isClosed || !this.#view.up.has(memberId)) {
			return undefined;
		}

		const existing = this.#outboxes.get(memberId);
		if (existing) {
			return existing;
		}

		const created = this.#createOutbox(memberId);
		this.#outboxes.set(memberId, created);
		return created;
	}

	/**
	 * Updates the members; discards unsent messages to those that are not up.
	 * @param view - New view.
	 */
	setMembers(view: MemberView): void {
		this.#view = view;
		for (const [memberId, outbox] of this.#outboxes) {
			if (!view.up.has(memberId)) {
				outbox.close();
			}

			if (!view.dataCenters.has(memberId)) {
				this.#outboxes.delete(memberId);
			}
		}
	}

	/** Sends all pending messages; no outbox is available afterwards. */
	close(): void {
		for (const outbox of this.#outboxes.values()) {
			outbox.flush();
			outbox.close();
		}

		this.#isClosed = true;
	}
}

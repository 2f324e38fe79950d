/**
 * Transfers the complete records of a stopping coordinator to its successor: in parts, then a commit with the number of records.
 */
import * as z from 'zod';
import {type Incarnation, type Member, type PeerNetwork} from '../connection/index.js';
import {AdoptedRecords, type AdoptedCoordinator} from './adopted-records.js';
import {savedRecordSchema} from './job-operation.js';
import {type SavedRecord} from './job-record.js';
import {type RecordStoreOptions} from './record-store.js';

/** Topic of requests that transfer records. */
export const handOverTopic = 'hand-over';

/** Total size of answers in bytes at which a part is full. */
const maxPartBytes = 512 * 1024;
/** Maximum number of records in one part. */
const maxPartRecords = 1000;
/** Maximum number of incoming transfers in progress; the oldest one is dropped for a new one. */
const maxTransfers = 64;

const incarnationSchema = z.object({dataCenter: z.string(), vm: z.string(), id: z.string()}).readonly();

const partSchema = z.object({
	kind: z.literal('part'),
	transferId: z.string(),
	records: z.array(savedRecordSchema).readonly(),
});

const commitSchema = z.object({
	kind: z.literal('commit'),
	transferId: z.string(),
	coordinator: z.object({incarnation: incarnationSchema, period: z.int().min(1)}).readonly(),
	/** Number of records in all parts of the transfer. */
	recordCount: z.int().min(0),
});

const messageSchema = z.discriminatedUnion('kind', [partSchema, commitSchema]);
const replySchema = z.object({isAccepted: z.boolean()});

type HandOverMessage = z.infer<typeof messageSchema>;

/** The coordinator and the records that are handed over. */
export type HandOverContent = {
	readonly coordinator: AdoptedCoordinator;
	readonly records: readonly SavedRecord[];
};

/** Options of {@link sendHandOver}. */
export type SendHandOverOptions = {
	readonly peers: Pick<PeerNetwork, 'request'>;
	readonly transferId: string;
	readonly content: HandOverContent;
	readonly signal?: AbortSignal;
};

/**
 * Sends the records of a coordinator to a successor.
 * @param successorId - Incarnation of the successor.
 * @param options - Records to send and the network to send them over.
 * @returns Whether the successor adopted all records and now serves the coordinator's jobs.
 */
export async function sendHandOver(successorId: string, options: SendHandOverOptions): Promise<boolean> {
	const {transferId, content} = options;
	for (const records of splitIntoParts(content.records)) {
		if (!await sendMessage(successorId, {kind: 'part', transferId, records}, options)) {
			return false;
		}
	}

	const commit: HandOverMessage = {
		kind: 'commit', transferId, coordinator: content.coordinator, recordCount: content.records.length,
	};
	return sendMessage(successorId, commit, options);
}

/**
 * Gets the members that can adopt records, those in the same data centre first.
 * @param members - All members.
 * @param self - The stopping incarnation.
 */
export function getSuccessors(members: readonly Member[], self: Incarnation): readonly Member[] {
	const eligible = members.filter(({state, isLeaving}) => state === 'up' && !isLeaving);
	const local = eligible.filter(({incarnation}) => incarnation.dataCenter === self.dataCenter);
	const remote = eligible.filter(({incarnation}) => incarnation.dataCenter !== self.dataCenter);
	return [...local, ...remote];
}

/** Options of a {@link HandOverReceiver}. */
export type HandOverReceiverOptions = {
	readonly records: RecordStoreOptions;
	readonly onAdopted: (records: AdoptedRecords) => void;
};

/** Receives the records of stopping coordinators. */
export class HandOverReceiver {
	readonly #options: HandOverReceiverOptions;
	readonly #transfers = new Map<string, SavedRecord[]>();

	constructor(options: HandOverReceiverOptions) {
		this.#options = options;
	}

	/**
	 * Handles one part of a hand-over or its commit.
	 * @param body - Body of the peer's request.
	 * @returns The reply, with whether the message was accepted.
	 */
	handleMessage(body: unknown): unknown {
		const message = messageSchema.safeParse(body).data;
		if (message === undefined) {
			return {isAccepted: false};
		}

		return {isAccepted: message.kind === 'part' ? this.#addPart(message) : this.#commit(message)};
	}

	#addPart({transferId, records}: z.infer<typeof partSchema>): boolean {
		const receivedRecords = this.#transfers.get(transferId);
		if (receivedRecords !== undefined) {
			receivedRecords.push(...records);
			return true;
		}

		if (this.#transfers.size >= maxTransfers) {
			this.#dropOldestTransfer();
		}

		this.#transfers.set(transferId, [...records]);
		return true;
	}

	/** Adopts the records only if all of them were received. */
	#commit({transferId, coordinator, recordCount}: z.infer<typeof commitSchema>): boolean {
		const records = this.#transfers.get(transferId) ?? [];
		this.#transfers.delete(transferId);
		if (records.length !== recordCount) {
			return false;
		}

		this.#options.onAdopted(new AdoptedRecords(coordinator, records, this.#options.records));
		return true;
	}

	#dropOldestTransfer(): void {
		const oldest = this.#transfers.keys().next();
		if (!oldest.done) {
			this.#transfers.delete(oldest.value);
		}
	}
}

function splitIntoParts(records: readonly SavedRecord[]): ReadonlyArray<readonly SavedRecord[]> {
	const parts: SavedRecord[][] = [];
	let part: SavedRecord[] = [];
	let bytes = 0;
	for (const record of records) {
		part.push(record);
		bytes += record.answer?.body.length ?? 0;
		if (bytes >= maxPartBytes || part.length >= maxPartRecords) {
			parts.push(part);
			part = [];
			bytes = 0;
		}
	}

	return part.length > 0 ? [...parts, part] : parts;
}

async function sendMessage(successorId: string, message: HandOverMessage, {peers, signal}: SendHandOverOptions): Promise<boolean> {
	const outcome = await peers.request(successorId, {topic: handOverTopic, body: message}, signal);
	return outcome.kind === 'answered' && replySchema.safeParse(outcome.body).data?.isAccepted === true;
}

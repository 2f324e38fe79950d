/**
 * Messages about slots between entry VMs.
 */
import * as z from 'zod';

const leaseSchema = z.object({
	id: z.string(),
	upstream: z.string(),
}).readonly();

const demandSchema = z.object({
	/** Further slots wanted; 0 withdraws the demand. */
	count: z.int().min(0),
	/** Those of them that are wanted even where the owner has less urgent work of its own. */
	urgentCount: z.int().min(0),
	/** Rank of the most urgent job, less what the time of sending adds to a rank. */
	urgency: z.number(),
	/** Whether the sender has a slot at all, whose task will end. */
	hasSlots: z.boolean(),
	/** Time after which the demand lapses. */
	validMs: z.number().min(0),
}).readonly();

const serviceUpdateSchema = z.object({
	service: z.string(),
	demand: demandSchema.optional(),
	granted: z.array(leaseSchema).readonly().optional(),
	returned: z.array(z.string()).readonly().optional(),
	/** Leases that the receiver ends: the holder must not start another task on them. */
	revoked: z.array(z.string()).readonly().optional(),
	/** Asks the receiver for all leases that it holds of the sender's upstreams. */
	claimRound: z.int().optional(),
	/** All leases that the sender holds of the receiver's upstreams. */
	claims: z.object({round: z.int(), leases: z.array(leaseSchema).readonly()}).readonly().optional(),
}).readonly();

const teamShareSchema = z.object({
	/** Tasks of the team that may run at the member at the same time. */
	slots: z.number().min(0),
	startsPerSecond: z.number().min(0),
	/** Rises with each share that a member is told; 0 when it was told none. */
	number: z.int().min(0),
}).readonly();

const teamUpdateSchema = z.object({
	team: z.string(),
	/** For the member that allots the shares: demand of the sender, and the share that it keeps to. */
	report: z.object({demand: z.int().min(0), share: teamShareSchema}).readonly().optional(),
	/** Share that the receiver is to keep to. */
	share: teamShareSchema.optional(),
}).readonly();

const slotMessageSchema = z.object({
	/** Rises with each message from the sender to the receiver; a message that doesn't rise is a copy. */
	number: z.int().min(1),
	/** Number of the last message that the sender took from the receiver. */
	lastReceived: z.int().min(0),
	services: z.array(serviceUpdateSchema).readonly(),
	teams: z.array(teamUpdateSchema).readonly(),
}).readonly();

/** A lease as named in messages. */
export type LeaseReference = z.infer<typeof leaseSchema>;

/** How many further slots an entry VM wants, and how urgently. */
export type SlotDemand = z.infer<typeof demandSchema>;

/** What a message says about one service. */
export type ServiceUpdate = z.infer<typeof serviceUpdateSchema>;

/** A member's part of a team's quota. */
export type TeamShare = z.infer<typeof teamShareSchema>;

/** What a message says about one team's quota. */
export type TeamUpdate = z.infer<typeof teamUpdateSchema>;

/** A message about slots. */
export type SlotMessage = z.infer<typeof slotMessageSchema>;

/** Topic of control messages about slots. */
export const slotTopic = 'slots';

/**
 * Reads the body of a control message; `undefined` when it is malformed.
 * @param body - Body as received.
 */
export function parseSlotMessage(body: unknown): SlotMessage | undefined {
	const result = slotMessageSchema.safeParse(body);
	return result.success ? result.data : undefined;
}

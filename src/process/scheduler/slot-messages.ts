/**
 * Messages about slots between entry VMs.
 */
import * as z from 'zod';

const leaseSchema = z.object({
	id: z.string(),
	upstream: z.string(),
}).readonly();

const demandSchema = z.object({
	/** Number of further slots wanted; 0 withdraws the demand. */
	count: z.int().min(0),
	/** Number of these slots that are wanted even if the owner has less urgent work of its own. */
	urgentCount: z.int().min(0),
	/** Rank of the most urgent job relative to the time of sending, since the clocks of members are not comparable. */
	urgency: z.number(),
	/** Whether the sender has any slot, which becomes free when its task ends. */
	hasSlots: z.boolean(),
	/** Time after which the demand expires, in milliseconds. */
	validMs: z.number().min(0),
}).readonly();

const serviceUpdateSchema = z.object({
	service: z.string(),
	demand: demandSchema.optional(),
	granted: z.array(leaseSchema).readonly().optional(),
	returned: z.array(z.string()).readonly().optional(),
	/** Leases that the receiver must remove: it must not start another task on them. */
	revoked: z.array(z.string()).readonly().optional(),
	/** Number of a claim round; requests all leases that the receiver holds of the sender's upstreams. */
	claimRound: z.int().optional(),
	/** All leases that the sender holds of the receiver's upstreams, and the claim round that this answers; 0 when not requested. */
	claims: z.object({round: z.int(), leases: z.array(leaseSchema).readonly()}).readonly().optional(),
}).readonly();

const teamShareSchema = z.object({
	/** Maximum number of tasks of the team that may run at the member at the same time. */
	slots: z.number().min(0),
	startsPerSecond: z.number().min(0),
	/** Increases with each share sent to a member; 0 when none was sent. */
	number: z.int().min(0),
}).readonly();

const teamUpdateSchema = z.object({
	team: z.string(),
	/** For the member that allocates the shares: demand of the sender, and the share that it currently applies. */
	report: z.object({demand: z.int().min(0), share: teamShareSchema}).readonly().optional(),
	/** Share that the receiver must apply. */
	share: teamShareSchema.optional(),
}).readonly();

const slotMessageSchema = z.object({
	/** Increases with each message from the sender to the receiver; a message whose number doesn't increase is a duplicate. */
	number: z.int().min(1),
	/** Number of the last message that the sender received from the receiver. */
	lastReceived: z.int().min(0),
	services: z.array(serviceUpdateSchema).readonly(),
	teams: z.array(teamUpdateSchema).readonly(),
}).readonly();

/** Reference to a lease in messages. */
export type LeaseReference = z.infer<typeof leaseSchema>;

/** Number of further slots that an entry VM wants, and their urgency. */
export type SlotDemand = z.infer<typeof demandSchema>;

/** Update of one service within a message. */
export type ServiceUpdate = z.infer<typeof serviceUpdateSchema>;

/** Share of a member in a team's quota. */
export type TeamShare = z.infer<typeof teamShareSchema>;

/** Update of one team's quota within a message. */
export type TeamUpdate = z.infer<typeof teamUpdateSchema>;

/** A message about slots. */
export type SlotMessage = z.infer<typeof slotMessageSchema>;

/** Topic of control messages about slots. */
export const slotTopic = 'slots';

/**
 * Parses the body of a control message; returns `undefined` when it is malformed.
 * @param body - Body as received.
 */
export function parseSlotMessage(body: unknown): SlotMessage | undefined {
	const result = slotMessageSchema.safeParse(body);
	return result.success ? result.data : undefined;
}

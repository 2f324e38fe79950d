/**
 * One version of the operators' configuration: its schema, its defaults and the types that all other parts use.
 */
import * as z from 'zod';

const nameSchema = z.string().regex(/^[a-z\d](?:[a-z\d\-]{0,62})$/v, 'expected 1 to 63 lower-case letters, digits and hyphens');
const millisecondsSchema = z.int().min(0).max(86_400_000);

/** Schema of a profile: how the requests of the services that use it are run. */
export const profileSchema = z.strictObject({
	/** Order of queued tasks across jobs. */
	order: z.enum(['fifo', 'fair', 'shortest-remaining']).default('shortest-remaining'),
	/** Time in which a waiting job's rank is halved, so that small jobs cannot hold it back for ever. */
	agingMs: millisecondsSchema.default(5000),
	/** Deadline of a job that names none, and the longest that one may name. */
	defaultDeadlineMs: millisecondsSchema.min(1).default(30_000),
	maxDeadlineMs: millisecondsSchema.min(1).default(600_000),
	/** Time limit of one task from its start. */
	taskTimeoutMs: millisecondsSchema.min(1).default(30_000),
	/** Tasks that may wait for the service at one entry VM. */
	maxQueuedTasks: z.int().min(0).max(10_000_000).default(20_000),
	/** Statuses by which an upstream says that it refused a task before it began. */
	notStartedStatuses: z.array(z.int().min(400).max(599)).max(16).default([]),
	/** Retries allowed for each 100 first tries; covers both proven refusals and idempotent requests. */
	retryPercent: z.number().min(0).max(1000).default(20),
	/** Most tries of one task. */
	maxTries: z.int().min(1).max(100).default(3),
	retryBackoffMs: millisecondsSchema.default(10),
	/** Whether tasks may run in another data centre, and from which expected local wait on. */
	spillToOtherDataCenters: z.boolean().default(false),
	spillWaitMs: millisecondsSchema.default(250),
	/**
	 * How many times more work must remain in one entry VM's job before a slot moves from it to a more urgent job of
	 * another. A higher number moves fewer slots, with fewer messages.
	 */
	leaseLead: z.number().min(1).max(1000).default(4),
	/** Expected wait of the most urgent jobs from which on an entry VM asks the others for busy slots. */
	leaseWaitMs: millisecondsSchema.default(40),
	/** Whether a caller that disconnects cancels its job. */
	cancelOnDisconnect: z.boolean().default(false),
	/** Share of a service's upstreams that may be put aside for failing, in percent. */
	maxEjectedPercent: z.number().min(0).max(100).default(34),
	ejectionMs: millisecondsSchema.min(1).default(2000),
	/** Idle time after which a connection to an upstream is closed and not used again. */
	idleConnectionMs: millisecondsSchema.min(1).default(4000),
}).readonly();

/** Schema of a service: which profile its requests run under. */
export const serviceSchema = z.strictObject({
	profile: nameSchema,
}).readonly();

/** Schema of a team and its quota, which holds over each data centre. */
export const teamSchema = z.strictObject({
	/** Share of the slots under contention. */
	weight: z.number().min(0.01).max(1000).default(1),
	/** Most tasks running at the same time; absent: no limit. */
	maxSlots: z.int().min(0).max(1_000_000).optional(),
	/** Most task starts a second, and how many may come at once; absent: no limit. */
	startsPerSecond: z.number().min(0).max(10_000_000).optional(),
	burst: z.int().min(1).max(10_000_000).default(100),
}).readonly();

/** Schema of the operators' declarations. */
export const declarationsSchema = z.strictObject({
	profiles: z.record(nameSchema, profileSchema).default({}),
	services: z.record(nameSchema, serviceSchema).default({}),
	teams: z.record(nameSchema, teamSchema).default({}),
}).readonly();

/** Schema of the stored value. */
export const configurationSchema = z.object({
	/** Goes up by one with each accepted change. */
	version: z.int().min(0),
	/** Names the change, so that a lost answer of the store can be settled by reading. */
	changeId: z.string().max(128),
	author: z.string().max(256).default(''),
	message: z.string().max(4096).default(''),
	/** Time of the change in milliseconds since the Unix epoch; only for display. */
	changedAt: z.number().default(0),
	declarations: declarationsSchema,
}).readonly();

/** How the requests of the services that use a profile are run. */
export type Profile = z.infer<typeof profileSchema>;

/** Which profile a service's requests run under. */
export type Service = z.infer<typeof serviceSchema>;

/** A team's quota. */
export type Team = z.infer<typeof teamSchema>;

/** Profiles, services and teams as the operators declare them. */
export type Declarations = z.infer<typeof declarationsSchema>;

/** One version of the configuration. */
export type Configuration = z.infer<typeof configurationSchema>;

/** The configuration before any was accepted. */
export const emptyConfiguration: Configuration = configurationSchema.parse({version: 0, changeId: '', declarations: {}});

/**
 * Schema, defaults and types of the operators' configuration.
 */
import * as z from 'zod';

const nameSchema = z.string().regex(/^[a-z\d](?:[a-z\d\-]{0,62})$/v, 'expected 1 to 63 lower-case letters, digits and hyphens');
const millisecondsSchema = z.int().min(0).max(86_400_000);

/** Schema of a profile, which determines how the requests of its services are run. */
export const profileSchema = z.strictObject({
	/** Order of queued tasks across jobs. */
	order: z.enum(['fifo', 'fair', 'shortest-remaining']).default('shortest-remaining'),
	/** Waiting time that halves a job's rank, so that small jobs cannot starve it. */
	agingMs: millisecondsSchema.default(5000),
	/** Deadline of a job that specifies none; `maxDeadlineMs` is the longest that a job may specify. */
	defaultDeadlineMs: millisecondsSchema.min(1).default(30_000),
	maxDeadlineMs: millisecondsSchema.min(1).default(600_000),
	/** Time limit of one attempt at a task, from its start. */
	taskTimeoutMs: millisecondsSchema.min(1).default(30_000),
	/** Maximum number of queued tasks of the service at one entry VM. */
	maxQueuedTasks: z.int().min(0).max(10_000_000).default(20_000),
	/** Statuses with which an upstream refuses a task before it starts to process it. */
	notStartedStatuses: z.array(z.int().min(400).max(599)).max(16).default([]),
	/** Retry budget: retries allowed per 100 first attempts, both after refusals and of idempotent requests. */
	retryPercent: z.number().min(0).max(1000).default(20),
	/** Maximum number of attempts at one task. */
	maxTries: z.int().min(1).max(100).default(3),
	retryBackoffMs: millisecondsSchema.default(10),
	/** Whether tasks may run in another data centre; `spillWaitMs` is the expected local wait from which on they do. */
	spillToOtherDataCenters: z.boolean().default(false),
	spillWaitMs: millisecondsSchema.default(250),
	/**
	 * Minimum ratio between the remaining work of an entry VM's job and that of a more urgent job at another entry VM
	 * for a slot to be leased to the latter. A higher ratio leases fewer slots and sends fewer messages.
	 */
	leaseLead: z.number().min(1).max(1000).default(4),
	/** Expected wait of the most urgent jobs from which on an entry VM requests busy slots from the others. */
	leaseWaitMs: millisecondsSchema.default(40),
	/** Whether a job is cancelled when its caller disconnects. */
	cancelOnDisconnect: z.boolean().default(false),
	/** Maximum percentage of a service's upstreams that may be ejected at the same time because of failures. */
	maxEjectedPercent: z.number().min(0).max(100).default(34),
	/** Duration of an ejection. */
	ejectionMs: millisecondsSchema.min(1).default(2000),
	/** Idle time after which a connection to an upstream is closed instead of being reused. */
	idleConnectionMs: millisecondsSchema.min(1).default(4000),
}).readonly();

/** Schema of a service, which refers to the profile of its requests. */
export const serviceSchema = z.strictObject({
	profile: nameSchema,
}).readonly();

/** Schema of a team and its quota, which applies to each data centre as a whole. */
export const teamSchema = z.strictObject({
	/** Relative share of the slots under contention. */
	weight: z.number().min(0.01).max(1000).default(1),
	/** Maximum number of concurrently running tasks; unlimited when absent. */
	maxSlots: z.int().min(0).max(1_000_000).optional(),
	/** Maximum rate of task starts, with bursts of up to `burst` starts; unlimited when absent. */
	startsPerSecond: z.number().min(0).max(10_000_000).optional(),
	burst: z.int().min(1).max(10_000_000).default(100),
}).readonly();

/** Schema of the operators' declarations. */
export const declarationsSchema = z.strictObject({
	profiles: z.record(nameSchema, profileSchema).default({}),
	services: z.record(nameSchema, serviceSchema).default({}),
	teams: z.record(nameSchema, teamSchema).default({}),
}).readonly();

/** Schema of the stored configuration. */
export const configurationSchema = z.object({
	/** Incremented by each accepted change. */
	version: z.int().min(0),
	/** Identifies the change, so that a writer whose answer from the store was lost can read back whether it was stored. */
	changeId: z.string().max(128),
	author: z.string().max(256).default(''),
	message: z.string().max(4096).default(''),
	/** Time of the change in milliseconds since the Unix epoch, for display only. */
	changedAt: z.number().default(0),
	declarations: declarationsSchema,
}).readonly();

/** Settings that determine how the requests of services are run. */
export type Profile = z.infer<typeof profileSchema>;

/** A service and the name of its profile. */
export type Service = z.infer<typeof serviceSchema>;

/** Weight and quota of a team. */
export type Team = z.infer<typeof teamSchema>;

/** Profiles, services and teams as declared by the operators. */
export type Declarations = z.infer<typeof declarationsSchema>;

/** One version of the configuration. */
export type Configuration = z.infer<typeof configurationSchema>;

/** The configuration in force before any change was accepted. */
export const emptyConfiguration: Configuration = configurationSchema.parse({version: 0, changeId: '', declarations: {}});

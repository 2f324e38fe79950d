/**
 * The platform's messages, by the platform's field names. Nothing outside this folder knows them.
 */
import {z} from 'zod';
import {type Run} from '../pool/index.js';

const count = z.number().min(0);
const flag = z.boolean().default(false);

/** Body of a job. Fields that are 0, false or empty are absent. */
export const jobBodySchema = z.object({
	spec: z.string().max(4000).default(''),
	// The caller waits for the end in the response, and the job is not stored.
	best_effort: flag,
	// Number of occurrences; the job then runs by the clock.
	times: count.default(0),
	steps: z.array(z.object({
		count: z.int().min(0).max(10_000).default(0),
		cpu: count.default(0),
		mem_mb: count.default(0),
		gpu: count.default(0),
		estimate_ms: count.default(0),
		after: z.array(z.int().min(0)).default([]),
		requirements: z.string().default(''),
		affinity: z.string().default(''),
		max_per_server: count.default(0),
		gang: flag,
		rack_local: flag,
		long_running: flag,
		fills: flag,
	})).min(1).max(1000),
});

/** The operator's configuration. */
export const configurationSchema = z.object({
	version: z.int().min(0),
	routes: z.array(z.object({
		name: z.string(),
		host: z.string(),
		prefix: z.string(),
		service: z.string(),
		timeout_ms: count.default(0),
		// Not a run time: time added to the objective.
		target_runtime_ms: count.default(0),
		priority: z.number().default(0),
		max_attempts: z.number().min(1).default(1),
		// Factor from the longest chain of work to the objective.
		stretch: z.number().default(1),
	})),
	services: z.array(z.object({
		name: z.string(),
		// Whether upstreams refuse what does not fit; nothing to do with this system's admission.
		admission_control: z.boolean().default(false),
		max_conns: z.number().default(64),
	})),
	limits: z.object({
		max_header_bytes: z.number().default(16_384),
		max_body_bytes: z.number().default(262_144),
		header_timeout_ms: z.number().default(3000),
		idle_timeout_ms: z.number().default(15_000),
	}).prefault({}),
});

/** An upstream's entry in the store. */
export const upstreamEntrySchema = z.object({
	service: z.string(),
	address: z.string(),
	zone: z.string(),
	state: z.enum(['ready', 'draining']),
	capacity: z.object({cpu: count, mem_mb: count, gpu: count.default(0)}),
	labels: z.array(z.string()).default([]),
	// Start of this life of the upstream, by the wall clock.
	born: count.default(0),
});

/** An item of the store. */
export const itemSchema = z.object({
	key: z.string(),
	value: z.string(),
	revision: z.number(),
});

/** Answer to the read of one item. */
export const itemAnswerSchema = itemSchema.extend({as_of: z.number()});

/** One page of items. */
export const rangeAnswerSchema = z.object({items: z.array(itemSchema), has_more: z.boolean().default(false), as_of: z.number()});

/** Changes of a prefix. */
export const watchAnswerSchema = z.object({
	events: z.array(z.object({
		key: z.string(), revision: z.number(), value: z.string().default(''), tombstone: z.boolean().default(false),
	})),
	as_of: z.number(),
});

/** Answer to a transaction that was carried out. */
export const writeAnswerSchema = z.object({revision: z.number()});

/** Answer to an order. */
export const orderAnswerSchema = z.object({clock_ms: z.number(), reason: z.string().default('')});

/** Answer to a look at an upstream; rows are tuples on the wire. */
export const holdAnswerSchema = z.object({
	clock_ms: z.number(),
	born: z.number().optional(),
	running: z.array(z.tuple([z.string(), z.number()], z.unknown())).default([]),
	ended: z.array(z.tuple([z.number(), z.string(), z.number(), z.string()], z.unknown())).default([]),
});

/**
 * Creates the body of a start.
 * @param options - Run, its text, lease and fence.
 */
export function createStartBody({run, spec, leaseUntilMs, fence}: {readonly run: Run; readonly spec: string; readonly leaseUntilMs: number; readonly fence: number}): unknown {
	return {
		task: run.task, run: run.number, spec, until_ms: leaseUntilMs, fence,
	};
}

/**
 * Creates the body of a stop.
 * @param options - Run and fence.
 */
export function createStopBody({run, fence}: {readonly run: Run; readonly fence: number}): unknown {
	return {task: run.task, run: run.number, fence};
}

/**
 * Creates the body of a look.
 * @param options - Fence, last end acknowledged, lease and wait.
 */
export function createHoldBody({fence, acknowledged, leaseUntilMs, waitMs}: {readonly fence: number; readonly acknowledged: number; readonly leaseUntilMs?: number; readonly waitMs: number}): unknown {
	return {
		fence, ack_cursor: acknowledged, until_ms: leaseUntilMs, wait_ms: waitMs > 0 ? Math.round(waitMs) : undefined,
	};
}

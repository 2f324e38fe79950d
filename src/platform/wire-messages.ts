/**
 * The platform's messages, by the platform's field names. Nothing outside this folder knows them.
 */
import * as z from 'zod';
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
export type OrderAnswer = {readonly clock_ms: number; readonly reason: string};

/** Answer to a look at an upstream; the lists are rows of tuples on the wire. */
export type HoldAnswer = {
	readonly clock_ms: number;
	readonly born: number | undefined;
	readonly running: ReadonlyArray<readonly [task: string, run: number]>;
	readonly ended: ReadonlyArray<readonly [position: number, task: string, run: number, end: string]>;
};

/**
 * Decodes the answer to an order, by hand since there is one for each task; `undefined` where it is none.
 * @param body - Body.
 */
export function decodeOrderAnswer(body: unknown): OrderAnswer | undefined {
	if (!isRecord(body) || typeof body.clock_ms !== 'number') {
		return undefined;
	}

	return {clock_ms: body.clock_ms, reason: typeof body.reason === 'string' ? body.reason : ''};
}

/**
 * Decodes the answer to a look, by hand since there is one for each end of a task; `undefined` where it is none.
 * @param body - Body.
 */
export function decodeHoldAnswer(body: unknown): HoldAnswer | undefined {
	if (!isRecord(body) || typeof body.clock_ms !== 'number') {
		return undefined;
	}

	const {clock_ms, born, running = [], ended = []} = body;
	if (!Array.isArray(running) || !Array.isArray(ended) || !running.every(row => isRow(row, ['string', 'number']))
		|| !ended.every(row => isRow(row, ['number', 'string', 'number', 'string']))) {
		return undefined;
	}

	return {
		clock_ms, born: typeof born === 'number' ? born : undefined, running: running as HoldAnswer['running'], ended: ended as HoldAnswer['ended'],
	};
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null;
}

/** Rows may have more columns than this system reads. */
function isRow(row: unknown, types: readonly string[]): boolean {
	return Array.isArray(row) && types.every((type, column) => typeof row[column] === type);
}

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

/**
 * The platform's messages with the platform's field names, which are used only in this folder.
 */
import * as z from 'zod';
import {type Run} from '../pool/index.js';
import {addressSchema} from './address-schema.js';

const count = z.number().min(0);
/** Amount whose sum over all upstreams is finite. */
const boundedAmount = count.max(Number.MAX_SAFE_INTEGER);
const flag = z.boolean().default(false);
/** Text of a caller. Half of a surrogate pair, which JSON can express, has no form in UTF-8, in which VMs pass texts on. */
const text = z.string().refine(value => value.isWellFormed(), 'expected well-formed Unicode');

/** Maximum number of steps of a job. */
export const maxSteps = 1000;

/** Body of a job. Fields with the value 0, false or empty are omitted on the wire. */
export const jobBodySchema = z.object({
	spec: text.max(4000).default(''),
	// The response is sent when the job ends, and the job is not stored.
	best_effort: flag,
	// Number of occurrences of a scheduled job.
	times: count.default(0),
	steps: z.array(z.object({
		count: z.int().min(0).max(10_000).default(0),
		cpu: boundedAmount.default(0),
		mem_mb: boundedAmount.default(0),
		gpu: boundedAmount.default(0),
		estimate_ms: boundedAmount.default(0),
		// One check for the whole list: a schema of the elements collects an issue for each invalid one, which a body can have 100,000 of.
		after: z.custom<readonly number[]>(value => isStepList(value), 'expected numbers of steps').default([]),
		requirements: text.default(''),
		affinity: text.default(''),
		max_per_server: count.default(0),
		gang: flag,
		rack_local: flag,
		long_running: flag,
		fills: flag,
	})).min(1).max(maxSteps).refine(steps => steps.every(({after}, position) => after.every(earlier => earlier < position)), 'a step may only depend on earlier ones'),
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
		// Not a run time: time added to the latency objective.
		target_runtime_ms: count.default(0),
		priority: z.number().default(0),
		max_attempts: z.number().min(1).default(1),
		// Ratio of the latency objective to the critical path.
		stretch: z.number().default(1),
	})),
	services: z.array(z.object({
		name: z.string(),
		// Whether upstreams refuse tasks that do not fit; unrelated to the admission check of this system.
		admission_control: z.boolean().default(false),
		max_conns: z.number().default(64),
	})),
	limits: z.object({
		// Limits that are omitted or 0 are not given, and the listener's own apply.
		max_header_bytes: z.number().optional(),
		max_body_bytes: z.number().default(262_144),
		header_timeout_ms: z.number().optional(),
		idle_timeout_ms: z.number().optional(),
	}).prefault({}),
});

/** An upstream's entry in the store. */
export const upstreamEntrySchema = z.object({
	service: z.string(),
	address: addressSchema,
	zone: z.string(),
	state: z.enum(['ready', 'draining']),
	capacity: z.object({cpu: boundedAmount, mem_mb: boundedAmount, gpu: boundedAmount.default(0)}),
	labels: z.array(z.string()).default([]),
	// Wall-clock start time of this instance of the upstream, in whole milliseconds.
	born: z.int().min(0).default(0),
	// Time for which the upstream stays slow after its start; an odd value is no reason to do without the upstream.
	cold_remaining_ms: z.unknown().optional().transform(value => isTime(value) ? value : 0),
});

/** An item of the store. */
export const itemSchema = z.object({
	key: z.string(),
	// Fields whose value is 0, false or empty may be omitted on the wire.
	value: z.string().default(''),
	revision: z.number(),
});

/** Answer to a read of one item. */
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

/** Answer to an executed transaction. */
export const writeAnswerSchema = z.object({revision: z.number()});

/** Answer to an order. */
export type OrderAnswer = {readonly clock_ms: number; readonly reason: string};

type RunRow = readonly [task: string, run: number, detail?: unknown, percent?: unknown];
type EndRow = readonly [position: number, task: string, run: number, end: string];

/** Answer to a poll of an upstream; both lists are arrays of tuples on the wire. */
export type HoldAnswer = {
	readonly clock_ms: number;
	readonly born: number | undefined;
	readonly running: readonly RunRow[];
	readonly ended: readonly EndRow[];
};

/**
 * Decodes the answer to an order; returns `undefined` if it is invalid. Written without a schema library for speed, as it runs for each task.
 * @param body - Body.
 */
export function decodeOrderAnswer(body: unknown): OrderAnswer | undefined {
	if (!isRecord(body) || !isTime(body.clock_ms)) {
		return undefined;
	}

	return {clock_ms: body.clock_ms, reason: typeof body.reason === 'string' ? body.reason : ''};
}

/**
 * Decodes the answer to a poll; returns `undefined` if it is invalid. Written without a schema library for speed, as it runs for each task that ends.
 * @param body - Body.
 */
export function decodeHoldAnswer(body: unknown): HoldAnswer | undefined {
	if (!isRecord(body) || !isTime(body.clock_ms)) {
		return undefined;
	}

	// Without one of the lists, the answer says nothing about the runs: both are always present, even if empty.
	const {clock_ms, born, running, ended} = body;
	if (!(born === undefined || isCount(born)) || !Array.isArray(running) || !Array.isArray(ended) || !running.every(row => isRun(row)) || !ended.every(row => isEnd(row))) {
		return undefined;
	}

	return {
		clock_ms, born, running, ended: sortByPosition(ended),
	};
}

function isStepList(value: unknown): boolean {
	return Array.isArray(value) && value.every(step => isCount(step));
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null;
}

/** Checks the first columns of a row; further columns are ignored. */
function isRun(row: unknown): row is RunRow {
	return Array.isArray(row) && typeof row[0] === 'string' && isPositive(row[1]);
}

function isEnd(row: unknown): row is EndRow {
	return Array.isArray(row) && isPositive(row[0]) && typeof row[1] === 'string' && isPositive(row[2]) && typeof row[3] === 'string';
}

function isTime(value: unknown): value is number {
	return typeof value === 'number' && value >= 0 && value <= Number.MAX_SAFE_INTEGER;
}

function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isPositive(value: unknown): value is number {
	return isCount(value) && value > 0;
}

/** An end is acknowledged together with all those before it. */
function sortByPosition(ended: readonly EndRow[]): readonly EndRow[] {
	return ended.every(([position], index) => index === 0 || position > ended[index - 1]![0]) ? ended : ended.toSorted(([a], [b]) => a - b);
}

/**
 * Creates the body of an order that starts a run.
 * @param options - Run, specification of its task, lease and fence.
 */
export function createStartBody({run, spec, leaseUntilMs, fence}: {readonly run: Run; readonly spec: string; readonly leaseUntilMs: number; readonly fence: number}): unknown {
	return {
		task: run.task, run: run.number, spec, until_ms: leaseUntilMs, fence,
	};
}

/**
 * Creates the body of an order that stops a run.
 * @param options - Run and fence.
 */
export function createStopBody({run, fence}: {readonly run: Run; readonly fence: number}): unknown {
	return {task: run.task, run: run.number, fence};
}

/**
 * Creates the body of a poll.
 * @param options - Fence, position of the last acknowledged end, lease and longest wait.
 */
export function createHoldBody({fence, acknowledged, leaseUntilMs, waitMs}: {readonly fence: number; readonly acknowledged: number; readonly leaseUntilMs?: number; readonly waitMs: number}): unknown {
	return {
		fence, ack_cursor: acknowledged, until_ms: leaseUntilMs, wait_ms: waitMs > 0 ? Math.round(waitMs) : undefined,
	};
}

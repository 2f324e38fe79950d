/**
 * What callers ask of jobs, in the form in which entry VMs pass it on to each other.
 */
import * as z from 'zod';
import {type CallerAnswer, isProblemName, type ProblemName} from '../request/index.js';

const headers = z.array(z.tuple([z.string(), z.string()]).readonly()).readonly();
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'expected bytes');
const milliseconds = z.number().min(0);
const period = z.int().min(1);
const key = z.string().min(1).max(128);
const attempt = z.int().min(1);
const problemName = z.string().refine(isProblemName).transform(text => text);

const contentSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('job'), body: bytes}),
	z.object({
		kind: z.literal('plain'),
		service: z.string(),
		team: z.string(),
		method: z.string(),
		path: z.string(),
		headers,
		body: bytes,
		isIdempotent: z.boolean(),
		deadlineMs: z.int().min(1).optional(),
	}),
	z.object({kind: z.literal('refused'), problem: problemName, detail: z.string()}),
]);

const submitSchema = z.object({
	kind: z.literal('submit'),
	period,
	key,
	attempt,
	content: contentSchema,
	/** Longest wait for the answer in milliseconds; absent: until the job ends. */
	waitMs: milliseconds.optional(),
}).readonly();

const getSchema = z.object({
	kind: z.literal('get'),
	period,
	key,
	/** Longest wait for the answer in milliseconds. */
	waitMs: milliseconds,
}).readonly();

const cancelSchema = z.object({
	kind: z.literal('cancel'),
	period,
	key,
	attempt,
}).readonly();

const createSchema = z.object({
	kind: z.literal('create'),
	content: contentSchema,
	waitMs: milliseconds.optional(),
}).readonly();

const runOnceSchema = z.object({
	kind: z.literal('run-once'),
	content: contentSchema,
}).readonly();

const jobOperationSchema = z.discriminatedUnion('kind', [submitSchema, getSchema, cancelSchema]);
const newOperationSchema = z.discriminatedUnion('kind', [createSchema, runOnceSchema]);

/** Submits an id, again or for the first time. */
export type SubmitOperation = z.infer<typeof submitSchema>;

/** Asks for the state of an id, or its answer. */
export type GetOperation = z.infer<typeof getSchema>;

/** Cancels an id. */
export type CancelOperation = z.infer<typeof cancelSchema>;

/** Submits a job whose key the coordinator makes. */
export type CreateOperation = z.infer<typeof createSchema>;

/** Runs a request that has no id. */
export type RunOnceOperation = z.infer<typeof runOnceSchema>;

/** What a caller asks of one job by its id. */
export type JobOperation = SubmitOperation | GetOperation | CancelOperation;

/** What a caller asks that any entry VM can coordinate. */
export type NewOperation = CreateOperation | RunOnceOperation;

const answerSchema = z.object({
	outcome: z.enum(['complete', 'not_run', 'failed', 'unknown']).optional(),
	problem: problemName.optional(),
	status: z.int().min(100).max(599),
	headers,
	body: bytes,
}).readonly();

const forwardedSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('job'), incarnationId: z.string(), operation: jobOperationSchema}),
	z.object({kind: z.literal('new'), operation: newOperationSchema}),
]);

const forwardReplySchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('answer'), answer: answerSchema}),
	z.object({kind: z.literal('not-here')}),
]);

/** An operation as one entry VM sends it to another. */
export type ForwardedOperation = z.infer<typeof forwardedSchema>;

/** What the other entry VM replies; `not-here`: it does not answer for that coordinator. */
export type ForwardReply = z.infer<typeof forwardReplySchema>;

/**
 * Reads an operation from a peer; `undefined` when it is none.
 * @param body - Body of the peer's request.
 */
export function parseForwardedOperation(body: unknown): ForwardedOperation | undefined {
	return forwardedSchema.safeParse(body).data;
}

/**
 * Reads a reply from a peer; `undefined` when it is none.
 * @param body - Body of the peer's answer.
 */
export function parseForwardReply(body: unknown): ForwardReply | undefined {
	return forwardReplySchema.safeParse(body).data;
}

/**
 * Reads an answer that another process kept; `undefined` when it is none.
 * @param body - Answer in the form of the peers' messages.
 */
export function parseCallerAnswer(body: unknown): CallerAnswer | undefined {
	return answerSchema.safeParse(body).data;
}

/** Schema of the part of a record that is handed over. */
export const savedRecordSchema = z.object({
	key,
	period,
	attempt,
	fingerprint: z.string(),
	outcome: z.enum(['complete', 'not_run', 'failed', 'unknown']),
	problem: problemName.optional(),
	answer: answerSchema.optional(),
}).readonly();

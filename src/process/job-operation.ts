/**
 * Callers' operations on jobs, and their schemas as messages between entry VMs.
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
	/** Maximum wait for the answer in milliseconds; absent: until the job ends. */
	waitMs: milliseconds.optional(),
}).readonly();

const getSchema = z.object({
	kind: z.literal('get'),
	period,
	key,
	/** Maximum wait for the answer in milliseconds. */
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

/** Submits a job under an id, possibly as a duplicate. */
export type SubmitOperation = z.infer<typeof submitSchema>;

/** Gets the answer of a job, or its progress while it is running. */
export type GetOperation = z.infer<typeof getSchema>;

/** Cancels a job. */
export type CancelOperation = z.infer<typeof cancelSchema>;

/** Submits a job under a key that the coordinator generates. */
export type CreateOperation = z.infer<typeof createSchema>;

/** Runs a request without an id. */
export type RunOnceOperation = z.infer<typeof runOnceSchema>;

/** An operation on the job with a given id. */
export type JobOperation = SubmitOperation | GetOperation | CancelOperation;

/** An operation that any entry VM can coordinate. */
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

/** An operation that one entry VM forwards to another. */
export type ForwardedOperation = z.infer<typeof forwardedSchema>;

/** The reply to a forwarded operation; `not-here`: the receiver does not serve that coordinator. */
export type ForwardReply = z.infer<typeof forwardReplySchema>;

/**
 * Parses an operation that a peer forwarded.
 * @param body - Body of the peer's request.
 * @returns The operation; `undefined` when the body is invalid.
 */
export function parseForwardedOperation(body: unknown): ForwardedOperation | undefined {
	return forwardedSchema.safeParse(body).data;
}

/**
 * Parses a peer's reply to a forwarded operation.
 * @param body - Body of the peer's answer.
 * @returns The reply; `undefined` when the body is invalid.
 */
export function parseForwardReply(body: unknown): ForwardReply | undefined {
	return forwardReplySchema.safeParse(body).data;
}

/**
 * Parses an answer that another process stored.
 * @param body - Answer in the form used in messages between peers.
 * @returns The answer; `undefined` when the body is invalid.
 */
export function parseCallerAnswer(body: unknown): CallerAnswer | undefined {
	return answerSchema.safeParse(body).data;
}

/** Schema of a record that is handed over. */
export const savedRecordSchema = z.object({
	key,
	period,
	attempt,
	fingerprint: z.string(),
	outcome: z.enum(['complete', 'not_run', 'failed', 'unknown']),
	problem: problemName.optional(),
	answer: answerSchema.optional(),
}).readonly();

/**
 * Messages between entry VMs about pools and jobs.
 */
import * as z from 'zod';
import {claimSchema as fenceSchema} from '../connection/index.js';

/** Topic of jobs that are submitted to the owner of a pool. */
export const submitTopic = 'pool-submit';

/** Topic of requests for the configuration. */
export const configurationTopic = 'pool-configuration';

/** Topic on which an owner reports its upstreams to the VMs of its data centre. */
export const upstreamsTopic = 'pool-upstreams';

/** Topics on which the owners of pools lend and borrow free capacity. */
export const lendTopic = 'pool-lend';
export const stopLentRunTopic = 'pool-stop-lent';
export const recallTopic = 'pool-recall';
export const loadTopic = 'pool-load';

/** Topic on which VMs are asked which jobs they wait for, and maximum number of jobs in one request. */
export const awaitedJobsTopic = 'pool-awaited-jobs';
export const maxAskedJobs = 1024;

/** Topic on which runs that failed or were lost with their upstreams are reported to all VMs. */
export const failedRunsTopic = 'pool-failed-runs';

/** Maximum number of failed runs in one message; further ones are left out. */
export const maxReportedFailedRuns = 256;

const count = z.number().min(0);
const name = z.string().max(256);

/** Amount whose sum over all tasks of a process is finite. */
const amount = count.max(Number.MAX_SAFE_INTEGER);

const needsSchema = z.object({cpu: amount, memoryMb: amount, accelerators: amount}).readonly();

const stepSchema = z.object({
	taskCount: z.int().min(0).max(10_000),
	needs: needsSchema,
	estimateMs: amount,
	after: z.array(z.int().min(0)).readonly(),
	requiredLabel: name.optional(),
	dataRack: name.optional(),
	maxPerUpstream: z.int().optional(),
}).readonly();

const failedRunSchema = z.object({
	task: name, number: count, upstream: name, bornMs: count, cause: z.enum(['refused', 'crash', 'alive', 'lost', 'failed']), isAlone: z.boolean().optional(), ageMs: count,
}).readonly();

// What cannot be read is left out: a message that carries failed runs beside other things stays valid.
const failedRunsSchema = z.unknown()
	.transform(value => (Array.isArray(value) ? value : []).slice(0, maxReportedFailedRuns).flatMap(failedRun => failedRunSchema.safeParse(failedRun).data ?? []))
	.readonly();

/** Schema of a report of failed runs. */
export const failedRunsReportSchema = z.object({failedRuns: failedRunsSchema}).readonly();

/** Schema of a job that is submitted to an owner. */
export const submittedJobSchema = z.object({
	id: name,
	spec: z.string(),
	steps: z.array(stepSchema).readonly(),
	rules: z.object({
		route: name, service: name, priority: z.number(), maxAttempts: z.number(), stretch: z.number(), slackMs: z.number(),
	}).readonly(),
	ageMs: count,
	remainingMs: z.number(),
	priorFence: fenceSchema,
	failedRuns: failedRunsSchema.optional(),
	isMoved: z.boolean().optional(),
}).readonly();

/** Schema of a request to the owner of a pool. */
export const submitRequestSchema = z.object({pool: name, job: submittedJobSchema}).readonly();

/** Schema of the load of a pool as reported by its owner. */
export const poolLoadSchema = z.object({
	cores: count, freeCpu: count, rooms: z.array(count).max(64).readonly().default([]), queuedWork: count,
}).readonly();

/** Schema of the answer to a job. */
export const submitAnswerSchema = z.object({
	outcome: z.discriminatedUnion('kind', [
		z.object({kind: z.literal('completed')}).readonly(),
		z.object({kind: z.literal('failed')}).readonly(),
		z.object({
			kind: z.literal('refused'),
			reason: z.enum(['no-upstream', 'does-not-fit', 'overloaded', 'deadline', 'not-owner', 'stopping', 'evacuated']),
			retryAfterMs: count,
		}).readonly(),
		z.object({kind: z.literal('moved'), hasStarted: z.boolean().default(true)}).readonly(),
		z.object({kind: z.literal('interrupted'), reason: z.string()}).readonly(),
	]),
	load: poolLoadSchema.optional(),
}).readonly();

const runSchema = z.object({task: name, number: z.int().min(1)}).readonly();

/** Schema of a request to run a task for another pool. */
export const lendRequestSchema = z.object({
	/** Pool of the lender. */
	pool: name,
	/** Pool of the task's job, with its owner's fence and its load. */
	borrower: name,
	fence: fenceSchema,
	load: poolLoadSchema,
	/** Sequence number of the task among those that the borrower's VM sent to the pool. */
	sequence: z.int().min(1),
	task: z.object({
		task: name, number: z.int().min(1), spec: z.string(), service: name, step: stepSchema, expectedMs: count, failedRuns: failedRunsSchema.optional(),
	}).readonly(),
}).readonly();

/** Schema of the answer to a lend request, sent when the task has ended or was refused. */
export const lendAnswerSchema = z.object({
	outcome: z.discriminatedUnion('kind', [
		z.object({kind: z.literal('ended'), end: z.enum(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'])}).readonly(),
		z.object({kind: z.literal('refused'), reason: z.enum(['no-room', 'does-not-fit', 'not-owner', 'stale-owner', 'not-sent'])}).readonly(),
		z.object({kind: z.literal('lost')}).readonly(),
	]),
	load: poolLoadSchema.optional(),
	/** Sequence number of the borrower's last task that the load includes. */
	seen: count.optional(),
	/** Failed runs of the task that are known to the lender. */
	failedRuns: failedRunsSchema.optional(),
}).readonly();

/** Schema of a request to stop a lent run. */
export const stopLentRunRequestSchema = z.object({pool: name, run: runSchema, isOverdue: z.boolean()}).readonly();

/** Schema of a request to end all lent runs of a job, or without a job all that earlier owners of the borrower's pool started, and to refuse these owners. */
export const recallRequestSchema = z.object({
	pool: name, borrower: name, fence: fenceSchema, job: name.optional(),
}).readonly();

/** Schema of the answer to a recall: whether none of the runs is left in the pool. */
export const recallAnswerSchema = z.object({isClear: z.boolean()}).readonly();

/** Schema of an update of a pool's load. */
export const loadUpdateSchema = z.object({pool: name, load: poolLoadSchema, seen: count}).readonly();

/** Schema of a request for those of some jobs that a VM waits for, and of the answer. */
export const awaitedJobsRequestSchema = z.object({pool: name, jobs: z.array(name).max(maxAskedJobs).readonly()}).readonly();
export const awaitedJobsAnswerSchema = z.object({awaited: z.array(name).max(maxAskedJobs).readonly()}).readonly();

/** Schema of the claims in a heartbeat: fence and load of each pool that the sender owns. */
export const poolClaimsSchema = z.record(name, z.object({fence: fenceSchema, load: poolLoadSchema}).readonly()).readonly();

// The texts of a valid entry may have any length; an upstream left out of a report counts as missing.
const upstreamSchema = z.object({
	id: z.string(),
	bornMs: count,
	address: z.string(),
	dataCenter: z.string(),
	service: z.string(),
	rack: z.string(),
	labels: z.array(z.string()).readonly(),
	capacity: needsSchema,
	isLeaving: z.boolean(),
}).readonly();

function skipInvalid(upstreams: readonly unknown[]): ReadonlyArray<z.infer<typeof upstreamSchema>> {
	return upstreams.flatMap(upstream => upstreamSchema.safeParse(upstream).data ?? []);
}

/** Schema of the upstreams that an owner reports; invalid ones are skipped and counted. */
export const upstreamsSchema = z.object({
	pool: name,
	/** Store revision at which the owner read the upstreams. */
	revision: count,
	upstreams: z.array(z.unknown()).max(5000),
	/** Last valid descriptions of upstreams whose entries were overwritten by invalid ones. */
	overwritten: z.array(z.unknown()).max(5000).default([]),
	/** Instances of upstreams at addresses at which these are no longer listed; missing if the sender's version does not know them. */
	former: z.array(z.unknown()).max(5000).optional(),
}).transform(({upstreams, overwritten, former, ...report}) => {
	const valid = skipInvalid(upstreams);
	const validOverwritten = skipInvalid(overwritten);
	const validFormer = former && skipInvalid(former);
	const invalidCount = upstreams.length + overwritten.length + (former?.length ?? 0) - valid.length - validOverwritten.length - (validFormer?.length ?? 0);
	return {
		...report, upstreams: valid, overwritten: validOverwritten, former: validFormer, invalidCount,
	};
}).readonly();

/** Request that submits a job to the owner of a pool. */
export type SubmitRequest = z.infer<typeof submitRequestSchema>;

/** Answer to a job. */
export type SubmitAnswer = z.infer<typeof submitAnswerSchema>;

/** Request to run a task for another pool. */
export type LendRequest = z.infer<typeof lendRequestSchema>;

/** Update of a pool's load. */
export type LoadUpdate = z.infer<typeof loadUpdateSchema>;

/** Answer to a request to run a task for another pool. */
export type LendAnswer = z.infer<typeof lendAnswerSchema>;

/** Claims of a VM: fence and load by pool name. */
export type PoolClaims = z.infer<typeof poolClaimsSchema>;

/** Upstreams of a pool. */
export type PoolUpstreams = z.infer<typeof upstreamsSchema>;

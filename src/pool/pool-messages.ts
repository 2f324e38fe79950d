/**
 * What entry VMs tell each other about pools and jobs.
 */
import {z} from 'zod';

/** Topic of jobs that go to the owner of a pool. */
export const submitTopic = 'pool-submit';

/** Topic by which a VM asks a peer for the configuration. */
export const configurationTopic = 'pool-configuration';

/** Topic by which an owner tells the VMs of its data centre of the upstreams. */
export const upstreamsTopic = 'pool-upstreams';

const count = z.number().min(0);
const name = z.string().max(256);

const needsSchema = z.object({cpu: count, memoryMb: count, accelerators: count}).readonly();

const stepSchema = z.object({
	taskCount: z.int().min(0).max(10_000),
	needs: needsSchema,
	estimateMs: count,
	after: z.array(z.int().min(0)).readonly(),
	requiredLabel: name.optional(),
	dataRack: name.optional(),
	maxPerUpstream: z.int().optional(),
}).readonly();

/** Schema of a job on its way to an owner. */
export const submittedJobSchema = z.object({
	id: name,
	spec: z.string(),
	steps: z.array(stepSchema).readonly(),
	rules: z.object({
		route: name, service: name, priority: z.number(), maxAttempts: z.number(), stretch: z.number(), slackMs: z.number(),
	}).readonly(),
	ageMs: count,
	remainingMs: z.number(),
	priorFence: count,
}).readonly();

/** Schema of a request to the owner of a pool. */
export const submitRequestSchema = z.object({pool: name, job: submittedJobSchema}).readonly();

/** Schema of the load of a pool, as its owner tells it. */
export const poolLoadSchema = z.object({cores: count, freeCpu: count, queuedWork: count}).readonly();

/** Schema of the answer to a job. */
export const submitAnswerSchema = z.object({
	outcome: z.discriminatedUnion('kind', [
		z.object({kind: z.literal('completed')}).readonly(),
		z.object({kind: z.literal('failed')}).readonly(),
		z.object({
			kind: z.literal('refused'),
			reason: z.enum(['no-upstream', 'does-not-fit', 'overloaded', 'deadline', 'not-owner', 'stopping']),
			retryAfterMs: count,
		}).readonly(),
		z.object({kind: z.literal('moved')}).readonly(),
		z.object({kind: z.literal('interrupted'), reason: z.string()}).readonly(),
	]),
	load: poolLoadSchema.optional(),
}).readonly();

/** Schema of what a VM tells of its pools with its heartbeats. */
export const poolClaimsSchema = z.record(name, z.object({fence: count, load: poolLoadSchema}).readonly()).readonly();

/** Schema of the upstreams that an owner tells of. */
export const upstreamsSchema = z.object({
	pool: name,
	/** Revision of the store at which the owner read them. */
	revision: count,
	upstreams: z.array(z.object({
		id: name,
		bornMs: count,
		address: name,
		dataCenter: name,
		service: name,
		rack: name,
		labels: z.array(name).readonly(),
		capacity: needsSchema,
		isLeaving: z.boolean(),
	}).readonly()).max(5000).readonly(),
}).readonly();

/** Request to the owner of a pool. */
export type SubmitRequest = z.infer<typeof submitRequestSchema>;

/** Answer to a job. */
export type SubmitAnswer = z.infer<typeof submitAnswerSchema>;

/** What a VM tells of its pools. */
export type PoolClaims = z.infer<typeof poolClaimsSchema>;

/** The upstreams of a pool. */
export type PoolUpstreams = z.infer<typeof upstreamsSchema>;

/**
 * Decodes what comes with each job, task and heartbeat: by hand where a message is complete, since the schemas took as long as all decisions
 * on a job together, and by its schema where fields are left out, as other versions do.
 */
import type * as z from 'zod';
import {
	type LendAnswer, lendAnswerSchema, type LendRequest, lendRequestSchema, type LoadUpdate, loadUpdateSchema, type PoolClaims, poolClaimsSchema, type SubmitAnswer,
	submitAnswerSchema, type SubmitRequest, submitRequestSchema,
} from './pool-messages.js';
import {type PoolLoad} from './pool-scheduler.js';

type Fields = Readonly<Record<string, unknown>>;

const maxNameLength = 256;
const maxRooms = 64;
const maxTasks = 10_000;

const outcomeReasons: ReadonlySet<unknown> = new Set(['no-upstream', 'does-not-fit', 'overloaded', 'deadline', 'not-owner', 'stopping']);
const lendReasons: ReadonlySet<unknown> = new Set(['no-room', 'does-not-fit', 'not-owner', 'stale-owner', 'not-sent']);
const ends: ReadonlySet<unknown> = new Set(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']);

/**
 * Decodes what a VM tells of its pools with its heartbeats; `undefined` where it is something else.
 * @param value - Decoded value.
 */
export function decodePoolClaims(value: unknown): PoolClaims | undefined {
	const isValid = isFields(value) && Object.entries(value).every(([pool, claim]) => isName(pool) && isFields(claim) && isCount(claim.fence) && isPoolLoad(claim.load));
	return isValid ? value as PoolClaims : parse(poolClaimsSchema, value);
}

/**
 * Decodes the news of a pool's load; `undefined` where it is something else.
 * @param value - Decoded value.
 */
export function decodeLoadUpdate(value: unknown): LoadUpdate | undefined {
	return isFields(value) && isName(value.pool) && isPoolLoad(value.load) && isCount(value.seen) ? value as LoadUpdate : parse(loadUpdateSchema, value);
}

/**
 * Decodes a request to the owner of a pool; `undefined` where it is something else.
 * @param value - Decoded value.
 */
export function decodeSubmitRequest(value: unknown): SubmitRequest | undefined {
	return isFields(value) && isName(value.pool) && isJob(value.job) ? value as SubmitRequest : parse(submitRequestSchema, value);
}

/**
 * Decodes the answer to a job; `undefined` where it is something else.
 * @param value - Decoded value.
 */
export function decodeSubmitAnswer(value: unknown): SubmitAnswer | undefined {
	const isValid = isFields(value) && isFields(value.outcome) && isJobOutcome(value.outcome) && isOptional(value.load, isPoolLoad);
	return isValid ? value as SubmitAnswer : parse(submitAnswerSchema, value);
}

/**
 * Decodes a request to run a task for another pool; `undefined` where it is something else.
 * @param value - Decoded value.
 */
export function decodeLendRequest(value: unknown): LendRequest | undefined {
	const isValid = isFields(value) && isName(value.pool) && isName(value.borrower) && isCount(value.fence) && isPoolLoad(value.load)
		&& isPosition(value.sequence) && isTask(value.task);
	return isValid ? value as LendRequest : parse(lendRequestSchema, value);
}

/**
 * Decodes the answer to a request to run a task; `undefined` where it is something else.
 * @param value - Decoded value.
 */
export function decodeLendAnswer(value: unknown): LendAnswer | undefined {
	const isValid = isFields(value) && isFields(value.outcome) && isLendOutcome(value.outcome) && isOptional(value.load, isPoolLoad) && isOptional(value.seen, isCount);
	return isValid ? value as LendAnswer : parse(lendAnswerSchema, value);
}

function parse<T>(schema: z.ZodType<T>, value: unknown): T | undefined {
	return schema.safeParse(value).data;
}

function isJob(value: unknown): boolean {
	return isFields(value) && isName(value.id) && typeof value.spec === 'string' && Array.isArray(value.steps) && value.steps.every(step => isStep(step))
		&& isRules(value.rules) && isCount(value.ageMs) && isNumber(value.remainingMs) && isCount(value.priorFence);
}

function isRules(value: unknown): boolean {
	return isFields(value) && isName(value.route) && isName(value.service) && isNumber(value.priority) && isNumber(value.maxAttempts)
		&& isNumber(value.stretch) && isNumber(value.slackMs);
}

function isTask(value: unknown): boolean {
	return isFields(value) && isName(value.task) && isPosition(value.number) && typeof value.spec === 'string' && isName(value.service)
		&& isStep(value.step) && isCount(value.expectedMs);
}

function isStep(value: unknown): boolean {
	if (!isFields(value)) {
		return false;
	}

	const {taskCount, needs, estimateMs, after, requiredLabel, dataRack, maxPerUpstream} = value;
	return isInteger(taskCount) && taskCount >= 0 && taskCount <= maxTasks && isNeeds(needs) && isCount(estimateMs)
		&& Array.isArray(after) && after.every(step => isInteger(step) && step >= 0)
		&& isOptional(requiredLabel, isName) && isOptional(dataRack, isName) && isOptional(maxPerUpstream, isInteger);
}

function isNeeds(value: unknown): boolean {
	return isFields(value) && isCount(value.cpu) && isCount(value.memoryMb) && isCount(value.accelerators);
}

function isPoolLoad(value: unknown): value is PoolLoad {
	return isFields(value) && isCount(value.cores) && isCount(value.freeCpu) && isCount(value.queuedWork)
		&& Array.isArray(value.rooms) && value.rooms.length <= maxRooms && value.rooms.every(room => isCount(room));
}

function isJobOutcome({kind, reason, retryAfterMs, hasStarted}: Fields): boolean {
	switch (kind) {
		case 'completed':
		case 'failed': {
			return true;
		}

		case 'refused': {
			return outcomeReasons.has(reason) && isCount(retryAfterMs);
		}

		case 'moved': {
			return typeof hasStarted === 'boolean';
		}

		case 'interrupted': {
			return typeof reason === 'string';
		}

		default: {
			return false;
		}
	}
}

function isLendOutcome({kind, end, reason}: Fields): boolean {
	return kind === 'lost' || (kind === 'ended' && ends.has(end)) || (kind === 'refused' && lendReasons.has(reason));
}

function isFields(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isOptional(value: unknown, isValid: (value: unknown) => boolean): boolean {
	return value === undefined || isValid(value);
}

function isName(value: unknown): value is string {
	return typeof value === 'string' && value.length <= maxNameLength;
}

function isNumber(value: unknown): value is number {
	return Number.isFinite(value);
}

function isCount(value: unknown): value is number {
	return isNumber(value) && value >= 0;
}

function isInteger(value: unknown): value is number {
	return Number.isSafeInteger(value);
}

function isPosition(value: unknown): boolean {
	return isInteger(value) && value >= 1;
}

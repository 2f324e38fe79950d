/**
 * Decodes the messages that are exchanged for each job, task and heartbeat. Complete messages are checked by hand, since parsing by schema
 * takes as long as all decisions on a job together; messages of other versions, which omit fields, are parsed by schema.
 */
import type * as z from 'zod';
import {type FailedRunCause} from './crash-ledger.js';
import {isFence} from './fence.js';
import {
	type LendAnswer, lendAnswerSchema, type LendRequest, lendRequestSchema, type LoadUpdate, loadUpdateSchema, maxReportedFailedRuns, type PoolClaims,
	poolClaimsSchema, type SubmitAnswer, submitAnswerSchema, type SubmitRequest, submitRequestSchema,
} from './pool-messages.js';
import {type PoolLoad} from './pool-scheduler.js';

type UnknownRecord = Readonly<Record<string, unknown>>;

const maxNameLength = 256;
const maxFreeCapacities = 64;
const maxTasks = 10_000;

const refusalReasons: ReadonlySet<unknown> = new Set(['no-upstream', 'does-not-fit', 'overloaded', 'deadline', 'not-owner', 'stopping', 'evacuated']);
const lendRefusalReasons: ReadonlySet<unknown> = new Set(['no-room', 'does-not-fit', 'not-owner', 'stale-owner', 'not-sent']);
const failedRunCauses: ReadonlySet<unknown> = new Set<FailedRunCause>(['refused', 'crash', 'alive', 'lost', 'failed']);
const runEnds: ReadonlySet<unknown> = new Set(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']);

/**
 * Decodes the pool claims in a heartbeat.
 * @param value - Parsed JSON value.
 * @returns Claims; `undefined` when the value is not valid.
 */
export function decodePoolClaims(value: unknown): PoolClaims | undefined {
	const isValid = isRecord(value) && Object.entries(value).every(([pool, claim]) => isName(pool) && isRecord(claim) && isFence(claim.fence) && isPoolLoad(claim.load));
	return isValid ? value as PoolClaims : parse(poolClaimsSchema, value);
}

/** Load of a pool that a VM passes on, with the fence of the pool's owner and the age in milliseconds. */
export type RelayedLoad = {readonly pool: string; readonly fence: number; readonly load: PoolLoad; readonly ageMs: number};

/** Maximum number of loads in one message. */
export const maxRelayedLoads = 32;

/**
 * Decodes the loads of remote pools that a VM passes on; those that are not valid are left out and counted.
 * @param value - Parsed JSON value: fence, load and age by name of the pool.
 */
export function decodeRelayedLoads(value: unknown): {readonly loads: readonly RelayedLoad[]; readonly invalidCount: number} {
	if (!isRecord(value)) {
		return {loads: [], invalidCount: 1};
	}

	const entries = Object.entries(value).slice(0, maxRelayedLoads);
	const loads = entries.flatMap(([pool, report]) => isName(pool) && isRecord(report) && isFence(report.fence) && isPoolLoad(report.load) && isNonNegative(report.ageMs)
		? {
			pool, fence: report.fence, load: report.load, ageMs: report.ageMs,
		}
		: []);
	return {loads, invalidCount: entries.length - loads.length};
}

/**
 * Decodes an update of a pool's load.
 * @param value - Parsed JSON value.
 * @returns Update; `undefined` when the value is not valid.
 */
export function decodeLoadUpdate(value: unknown): LoadUpdate | undefined {
	return isRecord(value) && isName(value.pool) && isPoolLoad(value.load) && isNonNegative(value.seen) ? value as LoadUpdate : parse(loadUpdateSchema, value);
}

/**
 * Decodes a request that submits a job to the owner of a pool.
 * @param value - Parsed JSON value.
 * @returns Request; `undefined` when the value is not valid.
 */
export function decodeSubmitRequest(value: unknown): SubmitRequest | undefined {
	return isRecord(value) && isName(value.pool) && isJob(value.job) ? value as SubmitRequest : parse(submitRequestSchema, value);
}

/**
 * Decodes the answer to a submitted job.
 * @param value - Parsed JSON value.
 * @returns Answer; `undefined` when the value is not valid.
 */
export function decodeSubmitAnswer(value: unknown): SubmitAnswer | undefined {
	const isValid = isRecord(value) && isRecord(value.outcome) && isJobOutcome(value.outcome) && isOptional(value.load, isPoolLoad);
	return isValid ? value as SubmitAnswer : parse(submitAnswerSchema, value);
}

/**
 * Decodes a request to run a task for another pool.
 * @param value - Parsed JSON value.
 * @returns Request; `undefined` when the value is not valid.
 */
export function decodeLendRequest(value: unknown): LendRequest | undefined {
	const isValid = isRecord(value) && isName(value.pool) && isName(value.borrower) && isFence(value.fence) && isPoolLoad(value.load)
		&& isPositiveInteger(value.sequence) && isTask(value.task);
	return isValid ? value as LendRequest : parse(lendRequestSchema, value);
}

/**
 * Decodes the answer to a request to run a task for another pool.
 * @param value - Parsed JSON value.
 * @returns Answer; `undefined` when the value is not valid.
 */
export function decodeLendAnswer(value: unknown): LendAnswer | undefined {
	const isValid = isRecord(value) && isRecord(value.outcome) && isLendOutcome(value.outcome) && isOptional(value.load, isPoolLoad) && isOptional(value.seen, isNonNegative)
		&& isOptional(value.failedRuns, isFailedRuns);
	return isValid ? value as LendAnswer : parse(lendAnswerSchema, value);
}

function parse<T>(schema: z.ZodType<T>, value: unknown): T | undefined {
	return schema.safeParse(value).data;
}

function isJob(value: unknown): boolean {
	return isRecord(value) && isName(value.id) && typeof value.spec === 'string' && Array.isArray(value.steps) && value.steps.every(step => isStep(step))
		&& isRules(value.rules) && isNonNegative(value.ageMs) && isNumber(value.remainingMs) && isFence(value.priorFence)
		&& isOptional(value.failedRuns, isFailedRuns) && isOptional(value.isMoved, isMoved => typeof isMoved === 'boolean');
}

function isFailedRuns(value: unknown): boolean {
	return Array.isArray(value) && value.length <= maxReportedFailedRuns && value.every(failedRun => isRecord(failedRun) && isName(failedRun.task) && isNonNegative(failedRun.number)
		&& isName(failedRun.upstream) && isNonNegative(failedRun.bornMs) && failedRunCauses.has(failedRun.cause) && isOptional(failedRun.isAlone, isAlone => typeof isAlone === 'boolean')
		&& isNonNegative(failedRun.ageMs));
}

function isRules(value: unknown): boolean {
	return isRecord(value) && isName(value.route) && isName(value.service) && isNumber(value.priority) && isNumber(value.maxAttempts)
		&& isNumber(value.stretch) && isNumber(value.slackMs);
}

function isTask(value: unknown): boolean {
	return isRecord(value) && isName(value.task) && isPositiveInteger(value.number) && typeof value.spec === 'string' && isName(value.service)
		&& isStep(value.step) && isNonNegative(value.expectedMs) && isOptional(value.failedRuns, isFailedRuns);
}

function isStep(value: unknown): boolean {
	if (!isRecord(value)) {
		return false;
	}

	const {taskCount, needs, estimateMs, after, requiredLabel, dataRack, maxPerUpstream} = value;
	return isInteger(taskCount) && taskCount >= 0 && taskCount <= maxTasks && isNeeds(needs) && isAmount(estimateMs)
		&& Array.isArray(after) && after.every(step => isInteger(step) && step >= 0)
		&& isOptional(requiredLabel, isName) && isOptional(dataRack, isName) && isOptional(maxPerUpstream, isInteger);
}

function isNeeds(value: unknown): boolean {
	return isRecord(value) && isAmount(value.cpu) && isAmount(value.memoryMb) && isAmount(value.accelerators);
}

function isPoolLoad(value: unknown): value is PoolLoad {
	return isRecord(value) && isNonNegative(value.cores) && isNonNegative(value.freeCpu) && isNonNegative(value.queuedWork)
		&& Array.isArray(value.rooms) && value.rooms.length <= maxFreeCapacities && value.rooms.every(freeCapacity => isNonNegative(freeCapacity));
}

function isJobOutcome({kind, reason, retryAfterMs, hasStarted}: UnknownRecord): boolean {
	switch (kind) {
		case 'completed':
		case 'failed': {
			return true;
		}

		case 'refused': {
			return refusalReasons.has(reason) && isNonNegative(retryAfterMs);
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

function isLendOutcome({kind, end, reason}: UnknownRecord): boolean {
	return kind === 'lost' || (kind === 'ended' && runEnds.has(end)) || (kind === 'refused' && lendRefusalReasons.has(reason));
}

function isRecord(value: unknown): value is UnknownRecord {
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

function isNonNegative(value: unknown): value is number {
	return isNumber(value) && value >= 0;
}

function isAmount(value: unknown): boolean {
	return isNonNegative(value) && value <= Number.MAX_SAFE_INTEGER;
}

function isInteger(value: unknown): value is number {
	return Number.isSafeInteger(value);
}

function isPositiveInteger(value: unknown): boolean {
	return isInteger(value) && value >= 1;
}

/**
 * Decoder of callers' jobs.
 */
import {type JobStep, type PoolJobRequest, type RouteRules} from '../pool/index.js';
import {parseJson} from './decode-configuration.js';
import {describeIssues} from './describe-issues.js';
import {jobBodySchema, maxSteps} from './wire-messages.js';

/** A decoded job. `unsupported`: the job is valid but needs a feature that is not implemented. */
export type DecodedJob =
	| {readonly kind: 'job'; readonly job: PoolJobRequest}
	| {readonly kind: 'unsupported'; readonly detail: string}
	| {readonly kind: 'invalid'; readonly detail: string};

/**
 * Decodes the body of a job.
 * @param id - Identifier chosen by the caller.
 * @param text - Body.
 * @param rules - Rules of the job's route.
 */
export function decodeJob(id: string, text: string, rules: RouteRules): DecodedJob {
	const value = parseJson(text);
	if (hasTooManySteps(value)) {
		return {kind: 'invalid', detail: `steps: more than ${maxSteps}`};
	}

	const parsed = jobBodySchema.safeParse(value);
	if (!parsed.success) {
		return {kind: 'invalid', detail: describeIssues(parsed.error)};
	}

	const {spec, steps, best_effort: isUnstored, times} = parsed.data;
	if (!isUnstored || times > 0) {
		return {kind: 'unsupported', detail: 'jobs that must be stored'};
	}

	if (steps.some(step => step.gang || step.long_running || step.fills)) {
		return {kind: 'unsupported', detail: 'gangs, tasks that last and tasks that fill'};
	}

	return {
		kind: 'job',
		job: {
			id,
			spec,
			rules,
			steps: steps.map((step): JobStep => ({
				taskCount: step.count,
				needs: {cpu: step.cpu, memoryMb: step.mem_mb, accelerators: step.gpu},
				estimateMs: step.estimate_ms,
				after: [...new Set(step.after)],
				requiredLabel: step.requirements || undefined,
				dataRack: step.affinity || undefined,
				maxPerUpstream: step.max_per_server || undefined,
			})),
		},
	};
}

/** Checks the number of steps before the schema, which collects an issue for each invalid one. */
function hasTooManySteps(value: unknown): boolean {
	const steps: unknown = typeof value === 'object' && value !== null && 'steps' in value ? value.steps : undefined;
	return Array.isArray(steps) && steps.length > maxSteps;
}

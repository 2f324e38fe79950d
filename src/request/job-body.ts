/**
 * The body of a submitted job.
 */
import * as z from 'zod';

/** Maximum number of tasks in one job. */
export const maxTasksPerJob = 1000;

/** Maximum length of an error's description in characters; that of unknown fields names them all. */
const maxDetailLength = 500;

const nameSchema = z.string().min(1).max(64);

const needsSchema = z.strictObject({
	cores: z.number().min(0).max(1_000_000).optional(),
	memoryMb: z.number().min(0).max(1_000_000_000).optional(),
	accelerators: z.number().min(0).max(1_000_000).optional(),
}).readonly();

const taskSchema = z.strictObject({
	path: z.string().min(1).max(8192),
	method: z.string().min(1).max(32).default('POST'),
	// Checked as a whole first: the record collects an issue for each invalid field, which a body can have a million of.
	headers: z.custom<Readonly<Record<string, string>>>(value => isStringRecord(value), 'expected strings').pipe(z.record(z.string(), z.string())).default({}),
	// Half of a surrogate pair, which JSON can express, has no form in UTF-8.
	body: z.string().refine(value => value.isWellFormed(), 'expected well-formed Unicode').default(''),
	/** Encoding of `body`; the upstream receives the decoded bytes. */
	bodyEncoding: z.enum(['utf8', 'base64']).default('utf8'),
	needs: needsSchema.default({}),
	/** Whether the task may be retried after a failure with unknown outcome. */
	isIdempotent: z.boolean().default(false),
}).readonly();

/** Schema of a job submission's body. */
export const jobBodySchema = z.strictObject({
	service: nameSchema,
	team: z.string().max(64).default(''),
	deadlineMs: z.int().min(1).optional(),
	tasks: z.array(taskSchema).min(1).max(maxTasksPerJob),
}).readonly();

/** A job as submitted by a caller. */
export type JobBody = z.infer<typeof jobBodySchema>;

/** One task of a job as submitted by a caller. */
export type TaskBody = z.infer<typeof taskSchema>;

/** A valid job, or the first error in its body. */
export type JobBodyResult =
	| {readonly ok: true; readonly body: JobBody}
	| {readonly ok: false; readonly detail: string};

/**
 * Parses and validates the body of a job submission; never throws.
 * @param bytes - Body as received, JSON in UTF-8.
 */
export function parseJobBody(bytes: Uint8Array): JobBodyResult {
	const value = parseJson(bytes);
	if (value === undefined) {
		return {ok: false, detail: 'the body is not JSON in UTF-8'};
	}

	if (hasTooManyTasks(value)) {
		return {ok: false, detail: `tasks: more than ${maxTasksPerJob}`};
	}

	const result = jobBodySchema.safeParse(value);
	if (!result.success) {
		const issue = result.error.issues[0]!;
		const path = issue.path.map(String).join('.');
		const detail = path === '' ? issue.message : `${path}: ${issue.message}`;
		return {ok: false, detail: detail.slice(0, maxDetailLength)};
	}

	return {ok: true, body: result.data};
}

function parseJson(bytes: Uint8Array): unknown {
	try {
		return JSON.parse(new TextDecoder('utf8', {fatal: true}).decode(bytes)) as unknown;
	} catch {
		return undefined;
	}
}

/** Checks the number of tasks before the schema, which collects an issue for each invalid one. */
function hasTooManyTasks(value: unknown): boolean {
	const tasks: unknown = typeof value === 'object' && value !== null && 'tasks' in value ? value.tasks : undefined;
	return Array.isArray(tasks) && tasks.length > maxTasksPerJob;
}

function isStringRecord(value: unknown): boolean {
	return typeof value === 'object' && value !== null && Object.values(value).every(field => typeof field === 'string');
}

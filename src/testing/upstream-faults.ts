/**
 * Faults that can be injected into an upstream stand-in while it runs.
 */
import * as z from 'zod';

/** Schema of the faults of an upstream stand-in. */
export const upstreamFaultsSchema = z.strictObject({
	/**
	 * What happens to a task. `fail`: starts and answers 500 immediately. `silent`: starts and never answers. `break-off`: runs
	 * and closes the connection within the answer. `unavailable`: answers 503 without starting.
	 */
	mode: z.enum(['none', 'fail', 'silent', 'break-off', 'unavailable']).default('none'),
	/** Factor applied to every run time. */
	slowFactor: z.number().min(0).max(1_000_000).default(1),
	/** Whether the listener is closed; running tasks continue. */
	refuse: z.boolean().default(false),
	/** Whether the upstream is marked as leaving; record entries carry the mark. */
	leaving: z.boolean().default(false),
}).readonly();

/** Faults of an upstream stand-in. */
export type UpstreamFaults = z.infer<typeof upstreamFaultsSchema>;

/** Faults of an upstream that works normally. */
export const noUpstreamFaults: UpstreamFaults = upstreamFaultsSchema.parse({});

/** Names of the faults on the command line. */
export const upstreamFaultNames = ['slow=FACTOR', 'fail', 'silent', 'break-off', 'unavailable', 'refuse', 'leaving'] as const;

/**
 * Parses a list of fault names; `undefined` when a name is unknown.
 * @param names - Names such as `slow=4` or `silent`; later ones override earlier ones.
 */
export function getUpstreamFaults(names: readonly string[]): UpstreamFaults | undefined {
	let faults: Record<string, unknown> = {};
	for (const name of names) {
		faults = {...faults, ...getNamedFault(name)};
	}

	const parsed = upstreamFaultsSchema.safeParse(faults);
	return parsed.success ? parsed.data : undefined;
}

function getNamedFault(name: string): Record<string, unknown> {
	if (name.startsWith('slow=')) {
		return {slowFactor: Number(name.slice('slow='.length))};
	}

	if (name === 'refuse' || name === 'leaving') {
		return {[name]: true};
	}

	return {mode: name};
}

/**
 * The faults that an upstream stand-in can be given while it runs.
 */
import * as z from 'zod';

/** Schema of the faults of an upstream stand-in. */
export const upstreamFaultsSchema = z.strictObject({
	/**
	 * What happens to a task. `fail`: begins and answers 500 at once. `silent`: begins and never answers. `break-off`: runs
	 * and closes the connection within the answer. `unavailable`: answers 503 without beginning.
	 */
	mode: z.enum(['none', 'fail', 'silent', 'break-off', 'unavailable']).default('none'),
	/** Factor on every run time. */
	slowFactor: z.number().min(0).max(1_000_000).default(1),
	/** Whether the listener is closed; running tasks go on. */
	refuse: z.boolean().default(false),
	/** Whether the upstream counts as leaving; starts are marked in the record. */
	leaving: z.boolean().default(false),
}).readonly();

/** Faults of an upstream stand-in. */
export type UpstreamFaults = z.infer<typeof upstreamFaultsSchema>;

/** An upstream that works. */
export const noUpstreamFaults: UpstreamFaults = upstreamFaultsSchema.parse({});

/** Faults that the command line takes by name. */
export const upstreamFaultNames = ['slow=FACTOR', 'fail', 'silent', 'break-off', 'unavailable', 'refuse', 'leaving'] as const;

/**
 * Gets the faults that a list of names stands for; `undefined` when a name is not known.
 * @param names - Names such as `slow=4` or `silent`; later ones go before earlier ones.
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

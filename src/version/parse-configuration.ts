/**
 * Parsing of a stored or received configuration.
 */
import {type Configuration, configurationSchema} from './configuration.js';
import {findReferenceFaults} from './reference-faults.js';

/** A valid configuration, or the reason why the value is invalid. */
export type ParsedConfiguration =
	| {readonly ok: true; readonly value: Configuration}
	| {readonly ok: false; readonly detail: string};

/**
 * Parses a stored configuration; never throws.
 * @param text - Stored value, JSON.
 */
export function parseStoredConfiguration(text: string): ParsedConfiguration {
	let json: unknown;
	try {
		json = JSON.parse(text);
	} catch {
		return {ok: false, detail: 'the value is no JSON'};
	}

	return parseConfiguration(json);
}

/**
 * Parses a configuration and checks that all referenced profiles are declared.
 * @param value - Configuration as received.
 */
export function parseConfiguration(value: unknown): ParsedConfiguration {
	const parsed = configurationSchema.safeParse(value);
	if (!parsed.success) {
		const issue = parsed.error.issues[0]!;
		return {ok: false, detail: `${issue.path.join('.')}: ${issue.message}`};
	}

	const fault = findReferenceFaults(parsed.data.declarations)[0];
	return fault ? {ok: false, detail: `${fault.path.join('.')}: ${fault.message}`} : {ok: true, value: parsed.data};
}

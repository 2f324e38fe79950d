/**
 * Readable descriptions of schema validation issues, with hints for misspelt names and values.
 */
import type * as z from 'zod';
import {
	declarationsSchema, profileSchema, serviceSchema, teamSchema,
} from './configuration.js';
import {findSimilarName} from './similar-name.js';

/** Readable description of a validation issue. */
export type IssueDescription = {
	readonly path: readonly PropertyKey[];
	readonly message: string;
	readonly hint: string;
	/** Whether the issue concerns the key at the path instead of its value. */
	readonly isAtKey: boolean;
};

const sectionFields: Readonly<Record<string, readonly string[]>> = {
	profiles: Object.keys(profileSchema.unwrap().shape),
	services: Object.keys(serviceSchema.unwrap().shape),
	teams: Object.keys(teamSchema.unwrap().shape),
};
const sections = Object.keys(declarationsSchema.unwrap().shape);

/**
 * Describes a validation issue; returns one description per key for an issue that concerns several keys.
 * @param issue - Issue reported by the schema.
 */
export function describeIssue(issue: z.core.$ZodIssue): readonly IssueDescription[] {
	const {path} = issue;
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({
			path: [...path, key], message: `unknown field '${key}'`, hint: getFieldHint(path, key), isAtKey: true,
		}));
	}

	const field = String(path.at(-1) ?? '');
	if (issue.code === 'invalid_key') {
		const detail = issue.issues[0]?.message ?? issue.message;
		return [{
			path, message: `invalid name '${field}': ${detail}`, hint: '', isAtKey: true,
		}];
	}

	if (issue.code === 'invalid_value') {
		return [{
			path, message: `invalid value of '${field}'`, hint: getValueHint(issue.input, issue.values.map(String)), isAtKey: false,
		}];
	}

	return [{
		path, message: field ? `'${field}': ${issue.message}` : issue.message, hint: '', isAtKey: false,
	}];
}

function getFieldHint(path: readonly PropertyKey[], key: string): string {
	const knownFields = path.length === 0 ? sections : sectionFields[String(path[0])] ?? [];
	return getValueHint(key, knownFields);
}

function getValueHint(input: unknown, knownNames: readonly string[]): string {
	const similar = typeof input === 'string' ? findSimilarName(input, knownNames) : undefined;
	return similar ? `did you mean '${similar}'?` : `expected one of: ${knownNames.join(', ')}`;
}

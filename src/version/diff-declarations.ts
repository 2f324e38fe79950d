/**
 * Comparison of two versions of the declarations.
 */
import {isDeepStrictEqual} from 'node:util';
import {type Declarations} from './configuration.js';

/** One changed field; a value of `undefined` means that the field is not set. */
export type FieldChange = {
	readonly field: string;
	readonly from: unknown;
	readonly to: unknown;
};

/** One added, removed or changed declaration. */
export type DeclarationChange = {
	readonly section: keyof Declarations;
	readonly name: string;
	readonly kind: 'added' | 'removed' | 'changed';
	readonly fields: readonly FieldChange[];
};

const sections: ReadonlyArray<keyof Declarations> = ['profiles', 'services', 'teams'];

/**
 * Gets the changes from one version to another, ordered by section and name.
 * @param from - Earlier declarations.
 * @param to - Later declarations.
 */
export function diffDeclarations(from: Declarations, to: Declarations): readonly DeclarationChange[] {
	return sections.flatMap(section => diffSection(section, from[section], to[section]));
}

function diffSection(section: keyof Declarations, from: Readonly<Record<string, Record<string, unknown>>>, to: Readonly<Record<string, Record<string, unknown>>>): readonly DeclarationChange[] {
	const before = new Map(Object.entries(from));
	const after = new Map(Object.entries(to));
	const names = [...new Set([...before.keys(), ...after.keys()])].sort();
	return names.flatMap(name => {
		const fields = diffFields(before.get(name) ?? {}, after.get(name) ?? {});
		const kind = getKind(before.get(name), after.get(name));
		return kind === 'changed' && fields.length === 0
			? []
			: [{
				section, name, kind, fields,
			}];
	});
}

function getKind(from: Record<string, unknown> | undefined, to: Record<string, unknown> | undefined): DeclarationChange['kind'] {
	if (!from) {
		return 'added';
	}

	return to ? 'changed' : 'removed';
}

function diffFields(from: Record<string, unknown>, to: Record<string, unknown>): readonly FieldChange[] {
	const before = new Map<string, unknown>(Object.entries(from));
	const after = new Map<string, unknown>(Object.entries(to));
	const fields = [...new Set([...before.keys(), ...after.keys()])].sort();
	return fields
		.map(field => ({field, from: before.get(field), to: after.get(field)}))
		.filter(change => !isDeepStrictEqual(change.from, change.to));
}

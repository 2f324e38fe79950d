/**
 * Formats the difference between declarations as text.
 */
import {styleText} from 'node:util';
import {type DeclarationChange, type FieldChange} from '../version/index.js';

const markers = {added: '+', removed: '-', changed: '~'} as const;
const colors = {added: 'green', removed: 'red', changed: 'yellow'} as const;

/**
 * Formats changes, one line a declaration and one a field.
 * @param changes - Changes to format.
 * @param isColored - Whether to add terminal colours.
 */
export function formatChanges(changes: readonly DeclarationChange[], isColored: boolean): string {
	return changes.map(change => formatChange(change, isColored)).join('');
}

function formatChange({section, name, kind, fields}: DeclarationChange, isColored: boolean): string {
	const shownFields = kind === 'removed' ? [] : fields;
	const lines = [
		`${markers[kind]} ${section}/${name}`,
		...shownFields.map(field => `    ${formatField(field, kind)}`),
	];
	return lines.map(line => `${isColored ? styleText(colors[kind], line) : line}\n`).join('');
}

function formatField({field, from, to}: FieldChange, kind: DeclarationChange['kind']): string {
	return kind === 'added' ? `${field}: ${formatValue(to)}` : `${field}: ${formatValue(from)} -> ${formatValue(to)}`;
}

function formatValue(value: unknown): string {
	return value === undefined ? '(none)' : JSON.stringify(value);
}

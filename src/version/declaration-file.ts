/**
 * Parsing of one YAML file of declarations, with the positions of its nodes.
 */
import {
	type Document, isMap, isNode, isPair, isScalar, LineCounter, parseAllDocuments, type YAMLError,
} from 'yaml';
import type * as z from 'zod';
import {type Declarations, declarationsSchema} from './configuration.js';
import {type DeclarationFault} from './declaration-fault.js';
import {describeIssue} from './describe-issue.js';

/** Path of a declaration or of one of its fields. */
export type DeclarationPath = readonly PropertyKey[];

/** A parsed file with its declarations or its faults. */
export class DeclarationFile {
	readonly #name: string;
	readonly #text: string;
	readonly #lineCounter = new LineCounter();
	readonly #document: Document;
	readonly #declarations: Declarations | undefined;
	readonly #faults: DeclarationFault[] = [];

	/**
	 * Parses a file; invalid text does not throw, but is reported by {@link getFaults}.
	 * @param name - Name of the file as reported in its faults.
	 * @param text - Text of the file.
	 */
	constructor(name: string, text: string) {
		this.#name = name;
		this.#text = text;
		const documents = parseAllDocuments(text, {lineCounter: this.#lineCounter, prettyErrors: false});
		this.#document = (Array.isArray(documents) ? documents[0] : undefined) ?? parseAllDocuments('{}')[0]!;
		for (const document of documents) {
			this.#addSyntaxFaults(document.errors);
		}

		if (documents.length > 1) {
			this.#addFaultAt(documents[1]!.range[0], 'more than one YAML document in the file', 'remove the line ---');
		}

		this.#declarations = this.#faults.length === 0 ? this.#validate() : undefined;
	}

	/** Gets the declarations; `undefined` if the file is invalid. */
	getDeclarations(): Declarations | undefined {
		return this.#declarations;
	}

	/** Gets the faults of the file alone, without checks against other files, sorted by position. */
	getFaults(): readonly DeclarationFault[] {
		return [...this.#faults].sort((left, right) => left.line - right.line || left.column - right.column);
	}

	/**
	 * Creates a fault positioned at a node of the file.
	 * @param path - Path of the node; if it does not exist, its closest existing ancestor gives the position.
	 * @param message - Description of the error.
	 * @param hint - Suggestion for a fix; may be empty.
	 * @param isAtKey - Whether the position is that of the node's key instead of its value.
	 */
	createFault(path: DeclarationPath, message: string, hint: string, isAtKey = false): DeclarationFault {
		return this.#createFaultAt(this.#findOffset(path, isAtKey), message, hint);
	}

	#addSyntaxFaults(errors: readonly YAMLError[]): void {
		for (const {code, pos, message} of errors) {
			const offset = code === 'DUPLICATE_KEY' ? this.#skipWhitespace(pos[0]) : pos[0];
			this.#addFaultAt(offset, message, '');
		}
	}

	#skipWhitespace(offset: number): number {
		return offset + this.#text.slice(offset).search(/\S|$/v);
	}

	#addFaultAt(offset: number, message: string, hint: string): void {
		this.#faults.push(this.#createFaultAt(offset, message, hint));
	}

	#createFaultAt(offset: number, message: string, hint: string): DeclarationFault {
		const {line, col} = this.#lineCounter.linePos(offset);
		return {
			file: this.#name, line: Math.max(line, 1), column: Math.max(col, 1), message, hint,
		};
	}

	#validate(): Declarations | undefined {
		const value = this.#convertToValue();
		if (this.#faults.length > 0) {
			return undefined;
		}

		const parsed = declarationsSchema.safeParse(value, {reportInput: true});
		if (parsed.success) {
			return parsed.data;
		}

		for (const issue of parsed.error.issues) {
			this.#addIssue(issue);
		}

		return undefined;
	}

	#convertToValue(): unknown {
		try {
			return replaceEmptyNodes(this.#document.toJS() ?? {});
		} catch (err) {
			// The library limits the expansion of aliases.
			this.#addFaultAt(0, (err as Error).message, '');
			return undefined;
		}
	}

	#addIssue(issue: z.core.$ZodIssue): void {
		for (const {path, message, hint, isAtKey} of describeIssue(issue)) {
			this.#faults.push(this.createFault(path, message, hint, isAtKey));
		}
	}

	#findOffset(path: DeclarationPath, isAtKey: boolean): number {
		let node: unknown = this.#document.contents;
		let offset = getOffset(node);
		for (const [index, part] of path.entries()) {
			const pair = isMap(node) ? node.items.find(item => isPair(item) && String(item.key) === String(part)) : undefined;
			if (!pair) {
				return offset;
			}

			const isLastKey = isAtKey && index === path.length - 1;
			offset = getOffset(isLastKey || isEmpty(pair.value) ? pair.key : pair.value);
			node = pair.value;
		}

		return offset;
	}
}

function isEmpty(node: unknown): boolean {
	return !isNode(node) || (isScalar(node) && node.value === null);
}

function getOffset(node: unknown): number {
	return isNode(node) ? node.range?.[0] ?? 0 : 0;
}

/** Replaces empty sections and declarations, which YAML reads as null, by empty objects. */
function replaceEmptyNodes(value: unknown): unknown {
	if (!isObject(value)) {
		return value;
	}

	return mapValues(value, section => {
		const declarations = section ?? {};
		return isObject(declarations) ? mapValues(declarations, declaration => declaration ?? {}) : declarations;
	});
}

function isObject(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function mapValues(value: Record<string, unknown>, transform: (part: unknown) => unknown): Record<string, unknown> {
	return Object.fromEntries(Object.entries(value).map(([name, part]) => [name, transform(part)]));
}

/**
 * Parsing of the operators' declarations from a folder of YAML files.
 */
import {type Dirent} from 'node:fs';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {addUsedBuiltInProfiles, builtInProfiles} from './built-in-profiles.js';
import {type Declarations} from './configuration.js';
import {type DeclarationFault} from './declaration-fault.js';
import {DeclarationFile} from './declaration-file.js';
import {findReferenceFaults} from './reference-faults.js';

/** Merged declarations, or all faults found in them. */
export type ParsedDeclarations =
	| {readonly ok: true; readonly declarations: Declarations; readonly files: readonly string[]}
	| {readonly ok: false; readonly faults: readonly DeclarationFault[]};

/** Name and text of a file of declarations. */
export type DeclarationText = {
	readonly name: string;
	readonly text: string;
};

type Section = 'profiles' | 'services' | 'teams';

const sections: readonly Section[] = ['profiles', 'services', 'teams'];
const fileNamePattern = /\.ya?ml$/v;

/** Maximum size of a file in bytes. */
const maxFileBytes = 1_000_000;

/**
 * Reads, parses and merges the YAML files of a folder, not including subfolders. Never rejects.
 * @param folder - Path of the folder.
 */
export async function readDeclarations(folder: string): Promise<ParsedDeclarations> {
	let entries: Dirent[];
	try {
		entries = await readdir(folder, {withFileTypes: true});
	} catch (err) {
		return createFolderFault(folder, `the folder cannot be read: ${(err as Error).message}`);
	}

	const names = entries.filter(entry => !entry.isDirectory() && fileNamePattern.test(entry.name)).map(({name}) => name).sort();
	if (names.length === 0) {
		return createFolderFault(folder, 'the folder contains no YAML file');
	}

	const texts: DeclarationText[] = [];
	for (const name of names) {
		const file = path.join(folder, name);
		const text = await readText(file);
		if (text === undefined) {
			return createFolderFault(file, `the file cannot be read or is longer than ${maxFileBytes} bytes`);
		}

		texts.push({name: file, text});
	}

	return parseDeclarations(texts);
}

/**
 * Parses and merges files, and adds the built-in profiles that services refer to.
 * @param texts - Names and texts of the files.
 */
export function parseDeclarations(texts: readonly DeclarationText[]): ParsedDeclarations {
	const files = texts.map(({name, text}) => new DeclarationFile(name, text));
	const fileFaults = files.flatMap(file => file.getFaults());
	const faults = [...fileFaults, ...findDuplicates(files)];
	// References are checked only if all files are valid, because an invalid file may contain the missing declarations.
	const merged = merge(files);
	if (fileFaults.length === 0) {
		faults.push(...findUndeclaredNames(files, merged));
	}

	if (faults.length > 0) {
		return {ok: false, faults};
	}

	const usedNames = Object.values(merged.services).map(({profile}) => profile);
	const profiles = addUsedBuiltInProfiles(merged.profiles, usedNames);
	return {ok: true, declarations: {...merged, profiles}, files: texts.map(({name}) => name)};
}

function merge(files: readonly DeclarationFile[]): Declarations {
	const all = files.flatMap(file => file.getDeclarations() ?? []);
	return {
		profiles: Object.assign({}, ...all.map(({profiles}) => profiles)) as Declarations['profiles'],
		services: Object.assign({}, ...all.map(({services}) => services)) as Declarations['services'],
		teams: Object.assign({}, ...all.map(({teams}) => teams)) as Declarations['teams'],
	};
}

function findDuplicates(files: readonly DeclarationFile[]): readonly DeclarationFault[] {
	const faults: DeclarationFault[] = [];
	const firstFiles = new Map<string, DeclarationFile>();
	for (const file of files) {
		for (const [section, name] of getDeclaredNames(file)) {
			const key = `${section}/${name}`;
			const first = firstFiles.get(key);
			if (first) {
				faults.push(createDuplicateFault(file, first, section, name));
			} else {
				firstFiles.set(key, file);
			}
		}
	}

	return faults;
}

function getDeclaredNames(file: DeclarationFile): ReadonlyArray<readonly [section: Section, name: string]> {
	return sections.flatMap(section => Object.keys(file.getDeclarations()?.[section] ?? {}).map(name => [section, name] as const));
}

function createDuplicateFault(file: DeclarationFile, first: DeclarationFile, section: Section, name: string): DeclarationFault {
	const firstFault = first.createFault([section, name], '', '', true);
	return file.createFault([section, name], `'${name}' is declared twice in ${section}`, `the other is at ${firstFault.file}:${firstFault.line}`, true);
}

function findUndeclaredNames(files: readonly DeclarationFile[], merged: Declarations): readonly DeclarationFault[] {
	const profiles = {...builtInProfiles, ...merged.profiles};
	return files.flatMap(file => {
		const services = file.getDeclarations()?.services ?? {};
		return findReferenceFaults({services, profiles}).map(({path: faultPath, message, hint}) => file.createFault(faultPath, message, hint));
	});
}

function createFolderFault(file: string, message: string): ParsedDeclarations {
	return {
		ok: false,
		faults: [{
			file, line: 1, column: 1, message, hint: '',
		}],
	};
}

async function readText(file: string): Promise<string | undefined> {
	try {
		const bytes = await readFile(file);
		return bytes.length > maxFileBytes ? undefined : bytes.toString();
	} catch {
		return undefined;
	}
}

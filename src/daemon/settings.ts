/**
 * Parses and checks the daemon's settings from flags and environment variables.
 */
import {readFileSync} from 'node:fs';
import {Command, CommanderError, Option} from 'commander';
import {
	type AnySettingDefinition, type SettingDefinition, type SettingName, describeSettings, getFlag, getVariable, minSecretLength, settingNames, settingTable,
} from './setting-table.js';
import {findConflicts} from './setting-conflicts.js';
import {findTlsFaults} from './tls-settings.js';

type ValueOf<Definition> = Definition extends SettingDefinition<infer T, infer Presence>
	? (Presence extends 'optional' ? T | undefined : T)
	: never;

/** Values of the settings, typed by the setting table. */
export type SettingValues = {readonly [Name in SettingName]: ValueOf<(typeof settingTable)[Name]>};

/** The daemon's settings, with secrets read from their files. */
export type Settings = Omit<SettingValues, 'peerKey'> & {
	readonly peerKey: string;
	readonly operatorToken: string | undefined;
};

/** The settings, the faults found in them, or the text to print for `--help` and `--version`. */
export type SettingsResult =
	| {readonly ok: true; readonly settings: Settings}
	| {readonly ok: false; readonly kind: 'faults'; readonly faults: readonly string[]}
	| {readonly ok: false; readonly kind: 'text'; readonly text: string};

/** Options of {@link parseSettings}. */
export type ParseSettingsOptions = {
	/** Version printed by `--version`. */
	readonly version?: string;
	/** Reads a file as text; throws on failure. */
	readonly readFile?: (path: string) => string;
};

const definitions: Readonly<Record<string, AnySettingDefinition | undefined>> = settingTable;

type SettingTexts = Partial<Record<SettingName, string>>;

const helpWidth = 100;

/**
 * Parses the settings; a flag takes precedence over its variable, and an empty variable counts as missing.
 * @param argv - Arguments after the program name.
 * @param env - Environment variables.
 * @param options - Version and file reader.
 */
export function parseSettings(argv: readonly string[], env: Readonly<Record<string, string | undefined>>, options: ParseSettingsOptions = {}): SettingsResult {
	const command = createCommand(options.version ?? '0.0.0');
	let output = '';
	const write = (text: string): void => {
		output += text;
	};

	command.configureOutput({
		writeOut: write,
		writeErr: write,
		getOutHelpWidth: () => helpWidth,
	});
	try {
		command.parse([...argv], {from: 'user'});
	} catch (err) {
		if (!(err instanceof CommanderError)) {
			throw err;
		}

		return err.exitCode === 0
			? {ok: false, kind: 'text', text: output}
			: {ok: false, kind: 'faults', faults: [err.message.replace(/^error: /v, '')]};
	}

	const faults = findUnknownArguments(command.args);
	const texts = mergeTexts(command.opts<SettingTexts>(), env);
	const values = readValues(texts, faults);
	const settings = addSecrets(values, faults, options.readFile ?? readTextFile);
	faults.push(...findConflicts(values, new Set(settingNames.filter(name => texts[name] !== undefined))));
	if (faults.length === 0) {
		faults.push(...findTlsFaults(values, options.readFile ?? readTextFile));
	}

	return faults.length > 0 ? {ok: false, kind: 'faults', faults} : {ok: true, settings: settings as Settings};
}

/**
 * Gets the settings with every secret redacted, for logs and status.
 * @param settings - Settings of the daemon.
 */
export function getPrintableSettings(settings: Settings): Readonly<Record<string, unknown>> {
	return Object.fromEntries(Object.entries(settings).map(([name, value]) => [name, isSecret(name) && value !== undefined ? '[redacted]' : value]));
}

function isSecret(name: string): boolean {
	const definition = definitions[name];
	return definition === undefined || definition.isSecret === true;
}

function createCommand(version: string): Command {
	const command = new Command('endivemilld')
		.description('Runs an entry VM of endivemill. A flag takes precedence over its environment variable.')
		.version(version)
		.exitOverride()
		.allowUnknownOption()
		.allowExcessArguments();
	for (const name of settingNames) {
		command.addOption(new Option(`${getFlag(name)} <${settingTable[name].placeholder}>`, formatHelp(name)));
	}

	return command;
}

function formatHelp(name: SettingName): string {
	const definition: AnySettingDefinition = settingTable[name];
	const notes = [
		definition.unit === undefined ? undefined : `unit: ${definition.unit}`,
		definition.presence === 'required' ? 'required' : undefined,
		definition.defaultText === undefined ? undefined : `default: ${definition.defaultText === '' ? 'none' : definition.defaultText}`,
		getVariable(name),
	];
	return `${definition.help} (${notes.filter(note => note !== undefined).join('; ')})`;
}

/** Reports unknown flags without their values, as a value may be a secret. */
function findUnknownArguments(args: readonly string[]): string[] {
	const flags = args.filter(argument => argument.startsWith('-'));
	if (flags.length > 0) {
		return flags.map(flag => `${flag.replace(/=.*$/sv, '')}: unknown flag`);
	}

	return args.length > 0 ? ['expected flags only, got a positional argument'] : [];
}

function mergeTexts(flags: SettingTexts, env: Readonly<Record<string, string | undefined>>): SettingTexts {
	const texts: SettingTexts = {};
	for (const name of settingNames) {
		const variable = env[getVariable(name)];
		texts[name] = flags[name] ?? (variable === '' ? undefined : variable);
	}

	return texts;
}

function readValues(texts: SettingTexts, faults: string[]): Partial<SettingValues> {
	const values: Record<string, unknown> = {};
	for (const name of settingNames) {
		const definition: AnySettingDefinition = settingTable[name];
		const text = texts[name] ?? definition.defaultText;
		if (text === undefined) {
			if (definition.presence === 'required') {
				faults.push(`${describeSettings(name)}: missing`);
			}

			continue;
		}

		const result = definition.schema.safeParse(text);
		if (result.success) {
			values[name] = result.data;
			continue;
		}

		const received = definition.isSecret ? '' : `, got ${JSON.stringify(text)}`;
		faults.push(`${describeSettings(name)}: ${result.error.issues[0]?.message ?? 'invalid'}${received}`);
	}

	return values;
}

function addSecrets(values: Partial<SettingValues>, faults: string[], readFile: (path: string) => string): Partial<Settings> {
	const readSecret = (name: 'peerKeyFile' | 'operatorTokenFile'): string | undefined => {
		const path = values[name];
		if (path === undefined) {
			return undefined;
		}

		try {
			const secret = readFile(path).trim();
			if (secret.length < minSecretLength) {
				faults.push(`${describeSettings(name)}: expected a file with at least ${minSecretLength} characters`);
			}

			return secret;
		} catch (err) {
			faults.push(`${describeSettings(name)}: ${(err as Error).message}`);
			return undefined;
		}
	};

	return {...values, peerKey: readSecret('peerKeyFile') ?? values.peerKey, operatorToken: readSecret('operatorTokenFile')};
}

function readTextFile(path: string): string {
	return readFileSync(path, 'utf8');
}

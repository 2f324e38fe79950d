/**
 * Declares every setting of the daemon with its type, default, unit and help text.
 */
import {
	type SettingSchema, addressListSetting, addressSetting, createChoiceSetting, createIntegerSetting, createSecretSetting,
	fileSetting, nameSetting, urlListSetting,
} from './setting-types.js';

/** Treatment of a missing setting. `required`: an error. `optional`: `undefined`. `defaulted`: the default value. */
export type SettingPresence = 'required' | 'optional' | 'defaulted';

/** One setting of the daemon. */
export type SettingDefinition<T, Presence extends SettingPresence> = {
	readonly schema: SettingSchema<T>;
	readonly presence: Presence;
	/** Default value as text. */
	readonly defaultText?: string;
	/** Unit of the value, shown in the help text. */
	readonly unit?: string;
	/** Placeholder for the value in the help text. */
	readonly placeholder: string;
	readonly help: string;
	/** Whether the value must not appear in logs, events or status. */
	readonly isSecret?: boolean;
};

/** Any setting of the daemon. */
export type AnySettingDefinition = SettingDefinition<unknown, SettingPresence>;

type SettingDetails = {readonly help: string; readonly unit?: string; readonly isSecret?: boolean};

/** Minimum length of a secret in characters. */
export const minSecretLength = 16;

const kibibyte = 1024;
const mebibyte = 1024 * kibibyte;
const maxBytes = 1024 * mebibyte;
const maxMilliseconds = 86_400_000;

/** The settings by name; flags and environment variables are derived from the names. */
export const settingTable = {
	deployment: required(nameSetting, 'name', {help: 'Name of the deployment'}),
	dataCenter: required(nameSetting, 'name', {help: 'Data centre of this VM'}),
	vm: required(nameSetting, 'name', {help: 'Name of this VM'}),
	callerAddress: required(addressSetting, 'ip:port', {help: 'Address that callers connect to'}),
	operatorAddress: required(addressSetting, 'ip:port', {help: 'Address that operators and health checks connect to'}),
	peerAddress: required(addressSetting, 'ip:port', {help: 'Address that other entry VMs connect to; announced to them, so it cannot be a wildcard'}),
	platformUrls: required(urlListSetting, 'url,…', {help: 'Addresses of the platform\'s key-value service'}),
	peerSeeds: defaulted(addressListSetting, 'ip:port,…', '', {help: 'Peer addresses to try while the platform\'s list cannot be read'}),
	peerKey: optional(createSecretSetting(minSecretLength), 'key', {help: 'Key shared by all entry VMs of the deployment; this or the file is required', isSecret: true}),
	peerKeyFile: optional(fileSetting, 'file', {help: 'File that holds the peer key'}),
	operatorTokenFile: optional(fileSetting, 'file', {help: 'File that holds the bearer token of operators'}),

	callerTlsCertFile: optional(fileSetting, 'file', {help: 'Certificate chain of the caller address (PEM); turns TLS on'}),
	callerTlsKeyFile: optional(fileSetting, 'file', {help: 'Private key of the caller address (PEM)'}),
	callerTlsCaFile: optional(fileSetting, 'file', {help: 'Authorities of caller certificates (PEM); makes these required'}),
	operatorTlsCertFile: optional(fileSetting, 'file', {help: 'Certificate chain of the operator address (PEM); turns TLS on'}),
	operatorTlsKeyFile: optional(fileSetting, 'file', {help: 'Private key of the operator address (PEM)'}),
	operatorTlsCaFile: optional(fileSetting, 'file', {help: 'Authorities of operator certificates (PEM); makes these required'}),
	peerTlsCertFile: optional(fileSetting, 'file', {help: 'Certificate chain shown to peers (PEM); turns TLS on'}),
	peerTlsKeyFile: optional(fileSetting, 'file', {help: 'Private key of the peer certificate (PEM)'}),
	peerTlsCaFile: optional(fileSetting, 'file', {help: 'Authorities of peer certificates (PEM); required with peer TLS'}),

	maxConnections: integer(10_000, 1, 1_000_000, {help: 'Maximum number of caller connections'}),
	maxHeaderBytes: integer(16 * kibibyte, kibibyte, mebibyte, {help: 'Maximum size of the head of a caller\'s request', unit: 'bytes'}),
	maxBodyBytes: integer(8 * mebibyte, kibibyte, maxBytes, {help: 'Maximum size of the body of a caller\'s request', unit: 'bytes'}),
	headTimeoutMs: integer(10_000, 1, maxMilliseconds, {help: 'Maximum time for receiving the head of a caller\'s request', unit: 'ms'}),
	bodyTimeoutMs: integer(30_000, 1, maxMilliseconds, {help: 'Maximum time for receiving a whole request of a caller', unit: 'ms'}),
	idleCallerMs: integer(65_000, 1, maxMilliseconds, {help: 'Idle time after which a caller\'s connection is closed', unit: 'ms'}),
	maxJobsInFlight: integer(20_000, 1, 10_000_000, {help: 'Maximum number of jobs running or queued at this VM'}),
	maxHeldBytes: integer(256 * mebibyte, mebibyte, 64 * maxBytes, {help: 'Maximum memory for callers\' requests; further requests are refused', unit: 'bytes'}),
	maxJobAnswerBytes: integer(16 * mebibyte, kibibyte, maxBytes, {help: 'Maximum size of the answer of a whole job', unit: 'bytes'}),
	maxAnswerBytes: integer(4 * mebibyte, kibibyte, maxBytes, {help: 'Maximum size of the body of an upstream\'s answer', unit: 'bytes'}),
	maxRecordsPerPeriod: integer(20_000, 100, 100_000_000, {help: 'Maximum number of job records in one period; a full period ends early'}),
	maxKeptAnswerBytes: integer(64 * mebibyte, 0, 64 * maxBytes, {help: 'Maximum memory for answers kept for repeated submissions', unit: 'bytes'}),
	periodsKept: integer(10, 1, 1000, {help: 'Number of periods whose job records are kept'}),
	periodSeconds: integer(60, 1, 86_400, {help: 'Length of a period of job records', unit: 's'}),
	connectTimeoutMs: integer(2000, 1, maxMilliseconds, {help: 'Maximum time for connecting to an upstream', unit: 'ms'}),
	maxEvents: integer(20_000, 1, 10_000_000, {help: 'Number of events kept for the timeline'}),

	logLevel: {
		schema: createChoiceSetting(['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const),
		presence: 'defaulted',
		defaultText: 'info',
		placeholder: 'level',
		help: 'Minimum level of log lines: trace, debug, info, warn, error or fatal',
	},
	drainMs: integer(3000, 0, maxMilliseconds, {help: 'Time for which a stopping VM still accepts connections, so that the load balancer can remove it', unit: 'ms'}),
	stopTimeoutMs: integer(60_000, 0, maxMilliseconds, {help: 'Maximum time of a graceful stop; running work is aborted after it', unit: 'ms'}),
} as const satisfies Record<string, AnySettingDefinition>;

/** Name of a setting. */
export type SettingName = keyof typeof settingTable;

/** Names of all settings in the order of the help text. */
export const settingNames = Object.keys(settingTable) as readonly SettingName[];

/**
 * Gets the flag of a setting.
 * @param name - Name of the setting.
 */
export function getFlag(name: SettingName): string {
	return `--${separateWords(name, '-')}`;
}

/**
 * Gets the environment variable of a setting.
 * @param name - Name of the setting.
 */
export function getVariable(name: SettingName): string {
	return `ENDIVEMILL_${separateWords(name, '_').toUpperCase()}`;
}

/**
 * Formats the flags and variables of settings for messages.
 * @param names - Names of the settings.
 */
export function describeSettings(...names: readonly SettingName[]): string {
	return names.map(name => `${getFlag(name)} (${getVariable(name)})`).join(', ');
}

function separateWords(name: string, separator: string): string {
	return name.replaceAll(/[A-Z]/gv, letter => `${separator}${letter.toLowerCase()}`);
}

function required<T>(schema: SettingSchema<T>, placeholder: string, details: SettingDetails): SettingDefinition<T, 'required'> {
	return {
		schema, placeholder, presence: 'required', ...details,
	};
}

function optional<T>(schema: SettingSchema<T>, placeholder: string, details: SettingDetails): SettingDefinition<T, 'optional'> {
	return {
		schema, placeholder, presence: 'optional', ...details,
	};
}

function defaulted<T>(schema: SettingSchema<T>, placeholder: string, defaultText: string, details: SettingDetails): SettingDefinition<T, 'defaulted'> {
	return {
		schema, placeholder, defaultText, presence: 'defaulted', ...details,
	};
}

function integer(defaultValue: number, min: number, max: number, details: SettingDetails): SettingDefinition<number, 'defaulted'> {
	return defaulted(createIntegerSetting(min, max), 'number', String(defaultValue), details);
}

/**
 * Flags shared by several commands, each with its environment variable.
 */
import {type Command, InvalidArgumentError} from 'commander';
import {createEtcdPlatform, type Platform} from '../platform/index.js';
import {type CliHost} from './cli-host.js';

/** Flags of commands that use the platform. */
export type PlatformFlags = {
	readonly platformUrls?: string;
	readonly deployment?: string;
};

/** Flag of commands that print JSON. */
export type JsonFlag = {
	readonly json?: boolean;
};

/** Flags of commands that query entry VMs at their operator addresses. */
export type OperatorFlags = {
	readonly operatorTokenFile?: string;
	readonly operatorTlsCaFile?: string;
	readonly operatorTlsCertFile?: string;
	readonly operatorTlsKeyFile?: string;
};

/** The platform and the deployment selected by the flags. */
export type OpenedPlatform = {
	readonly platform: Platform;
	readonly deployment: string;
};

const deploymentPattern = /^[a-z\d](?:[a-z\d\-]{0,62})$/v;

/**
 * Adds the flag for JSON output.
 * @param command - Command to change.
 */
export function addJsonFlag(command: Command): Command {
	return command.option('--json', 'print one JSON value in place of text');
}

/**
 * Adds the flags that select the platform and the deployment.
 * @param command - Command to change.
 */
export function addPlatformFlags(command: Command): Command {
	return command
		.option('--platform-urls <url,…>', 'addresses of the platform\'s key-value service (required; ENDIVEMILL_PLATFORM_URLS)')
		.option('--deployment <name>', 'name of the deployment (required; ENDIVEMILL_DEPLOYMENT)');
}

/**
 * Adds the flags for token and TLS at the operator addresses of entry VMs.
 * @param command - Command to change.
 */
export function addOperatorFlags(command: Command): Command {
	return command
		.option('--operator-token-file <file>', 'file that holds the bearer token of operators (ENDIVEMILL_OPERATOR_TOKEN_FILE)')
		.option('--operator-tls-ca-file <file>', 'authorities of the entry VMs\' certificates (PEM); turns TLS on (ENDIVEMILL_OPERATOR_TLS_CA_FILE)')
		.option('--operator-tls-cert-file <file>', 'client certificate (PEM) (ENDIVEMILL_OPERATOR_TLS_CERT_FILE)')
		.option('--operator-tls-key-file <file>', 'private key of the client certificate (PEM) (ENDIVEMILL_OPERATOR_TLS_KEY_FILE)');
}

/**
 * Parses the value of a flag as a whole number; throws when it is none.
 * @param text - Value of the flag.
 */
export function parseCount(text: string): number {
	if (!/^\d{1,9}$/v.test(text)) {
		throw new InvalidArgumentError('expected a whole number');
	}

	return Number(text);
}

/**
 * Gets the value of a flag, or of its environment variable when the flag is absent; an empty variable counts as missing.
 * @param flag - Value of the flag.
 * @param variable - Name of the variable.
 * @param host - Host of the command.
 */
export function getFlagOrVariable(flag: string | undefined, variable: string, host: CliHost): string | undefined {
	const value = host.env[variable];
	return flag ?? (value === '' ? undefined : value);
}

/**
 * Opens the platform selected by the flags; prints an error for each invalid flag and returns `undefined` when there is one.
 * @param flags - Flags of the command.
 * @param host - Host of the command.
 */
export function openPlatform(flags: PlatformFlags, host: CliHost): OpenedPlatform | undefined {
	const urls = getFlagOrVariable(flags.platformUrls, 'ENDIVEMILL_PLATFORM_URLS', host);
	const deployment = getFlagOrVariable(flags.deployment, 'ENDIVEMILL_DEPLOYMENT', host);
	const endpoints = (urls ?? '').split(',').map(url => url.trim()).filter(url => url !== '');
	const faults = [...findUrlFaults(endpoints), ...findDeploymentFaults(deployment)];
	for (const fault of faults) {
		host.writeErr(`error: ${fault}\n`);
	}

	if (faults.length > 0 || deployment === undefined) {
		return undefined;
	}

	return {platform: createEtcdPlatform({endpoints, clock: host.clock, random: host.random}), deployment};
}

function findUrlFaults(endpoints: readonly string[]): readonly string[] {
	const label = '--platform-urls (ENDIVEMILL_PLATFORM_URLS)';
	if (endpoints.length === 0) {
		return [`${label}: missing`];
	}

	return endpoints.filter(url => !isHttpUrl(url)).map(url => `${label}: '${url}' is no http or https URL`);
}

function findDeploymentFaults(deployment: string | undefined): readonly string[] {
	const label = '--deployment (ENDIVEMILL_DEPLOYMENT)';
	if (deployment === undefined) {
		return [`${label}: missing`];
	}

	return deploymentPattern.test(deployment) ? [] : [`${label}: expected 1 to 63 lower-case letters, digits and hyphens`];
}

function isHttpUrl(text: string): boolean {
	return URL.canParse(text) && /^https?:$/v.test(new URL(text).protocol);
}

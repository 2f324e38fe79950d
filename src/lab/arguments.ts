/**
 * Parsers for arguments shared by several commands.
 */
import {once} from 'node:events';
import process from 'node:process';
import {isIP} from 'node:net';
import {InvalidArgumentError} from 'commander';

const maxPort = 65_535;

/**
 * Parses an address such as `127.0.0.1:8080`; throws when it is invalid.
 * @param value - Argument as given on the command line.
 */
export function parseAddress(value: string): {readonly host: string; readonly port: number} {
	const colon = value.lastIndexOf(':');
	const host = value.slice(0, Math.max(colon, 0)).replaceAll(/^\[|\]$/gv, '');
	const port = Number(value.slice(colon + 1));
	if (isIP(host) === 0 || !Number.isInteger(port) || port < 0 || port > maxPort) {
		throw new InvalidArgumentError('expected an IP address and a port, such as 127.0.0.1:8080');
	}

	return {host, port};
}

/**
 * Parses a list of addresses; throws when one is invalid.
 * @param value - Addresses separated by commas.
 */
export function parseAddresses(value: string): readonly string[] {
	const addresses = value.split(',');
	for (const address of addresses) {
		parseAddress(address);
	}

	return addresses;
}

/**
 * Parses a non-negative whole number; throws when it is invalid.
 * @param value - Argument as given on the command line.
 */
export function parseCount(value: string): number {
	const count = Number(value);
	if (value === '' || !Number.isInteger(count) || count < 0) {
		throw new InvalidArgumentError('expected a whole number');
	}

	return count;
}

/**
 * Parses a non-negative number; throws when it is invalid.
 * @param value - Argument as given on the command line.
 */
export function parseNumber(value: string): number {
	const number = Number(value);
	if (value === '' || !Number.isFinite(number) || number < 0) {
		throw new InvalidArgumentError('expected a non-negative number');
	}

	return number;
}

/**
 * Parses a fraction from 0 to 1; throws when it is invalid.
 * @param value - Argument as given on the command line.
 */
export function parseFraction(value: string): number {
	const part = parseNumber(value);
	if (part > 1) {
		throw new InvalidArgumentError('expected a number from 0 to 1');
	}

	return part;
}

/** Waits for SIGINT or SIGTERM. */
export async function waitForSignal(): Promise<void> {
	await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
}

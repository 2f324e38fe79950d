/**
 * Schemas that parse the values of settings from text.
 */
import {isIP} from 'node:net';
import * as z from 'zod';

/** Parses the text of one setting; the message of an issue describes the expected value. */
export type SettingSchema<T> = z.ZodType<T, string>;

const maxPort = 65_535;

const namePattern = /^[a-z\d][a-z\d\-]{0,62}$/v;

/** Name of a deployment, a data centre or a VM. */
export const nameSetting: SettingSchema<string> = z.string()
	.regex(namePattern, 'expected 1 to 63 lower-case letters, digits and hyphens');

/** IP address and port. */
export const addressSetting: SettingSchema<string> = z.string()
	.refine(isAddress, 'expected an IP address and a port, such as 10.0.0.7:7300 or [fd00::7]:7300');

/** IP addresses with ports, separated by commas. */
export const addressListSetting: SettingSchema<readonly string[]> = createListSetting(
	isAddress,
	'expected IP addresses with ports, separated by commas',
);

/** HTTP URLs without credentials, separated by commas. */
export const urlListSetting: SettingSchema<readonly string[]> = createListSetting(
	isHttpUrl,
	'expected http:// or https:// addresses, separated by commas',
);

/** Path of a file. */
export const fileSetting: SettingSchema<string> = z.string().min(1, 'expected the path of a file');

/**
 * Creates the schema of a whole number.
 * @param min - Minimum value.
 * @param max - Maximum value.
 */
export function createIntegerSetting(min: number, max: number): SettingSchema<number> {
	const message = `expected a whole number from ${min} to ${max}`;
	return z.string()
		.regex(/^\d{1,15}$/v, message)
		.transform(Number)
		.refine(value => value >= min && value <= max, message);
}

/**
 * Creates the schema of a choice.
 * @param choices - Allowed values.
 */
export function createChoiceSetting<T extends string>(choices: readonly T[]): SettingSchema<T> {
	return z.enum(choices, `expected one of ${choices.join(', ')}`);
}

/**
 * Creates the schema of a secret.
 * @param minLength - Minimum number of characters.
 */
export function createSecretSetting(minLength: number): SettingSchema<string> {
	return z.string().min(minLength, `expected at least ${minLength} characters`);
}

function createListSetting(isItem: (text: string) => boolean, message: string): SettingSchema<readonly string[]> {
	return z.string()
		.transform(text => text.split(',').map(item => item.trim()).filter(item => item !== ''))
		.refine(items => items.every(item => isItem(item)), message);
}

function isAddress(text: string): boolean {
	const match = /^(?:\[(?<v6>[\da-f:.]+)\]|(?<v4>[\d.]+)):(?<port>\d{1,5})$/iv.exec(text);
	const host = match?.groups?.v6 ?? match?.groups?.v4 ?? '';
	const family = match?.groups?.v6 === undefined ? 4 : 6;
	return isIP(host) === family && Number(match?.groups?.port) <= maxPort;
}

function isHttpUrl(text: string): boolean {
	if (!URL.canParse(text)) {
		return false;
	}

	const url = new URL(text);
	return (url.protocol === 'http:' || url.protocol === 'https:') && url.username === '' && url.password === '';
}

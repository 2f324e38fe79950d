/**
 * Schema of the addresses in entries of the store, which are dialled as they are.
 */
import {isIPv4, isIPv6} from 'node:net';
import * as z from 'zod';

const addressPattern = /^(?:(?<host>[\d.]+)|\[(?<bracketedHost>[\da-fA-F:.]+)\]):(?<port>[1-9]\d{0,4})$/v;
const maxPort = 65_535;

/** Schema of an IP address and a port; an IPv6 address is enclosed in brackets. */
export const addressSchema = z.string().refine(isAddress, 'expected an IP address and a port');

function isAddress(text: string): boolean {
	const groups = addressPattern.exec(text)?.groups;
	return groups !== undefined && Number(groups.port) <= maxPort && (isIPv4(groups.host ?? '') || isIPv6(groups.bracketedHost ?? ''));
}

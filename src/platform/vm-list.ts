/**
 * The platform's list of VMs: one JSON value per VM under a prefix of the store.
 */
import * as z from 'zod';
import {addressSchema} from './address-schema.js';

/** Amount whose sum over all upstreams is finite. */
const amount = z.number().min(0).max(Number.MAX_SAFE_INTEGER).default(0);
const name = z.string().regex(/^[a-z\d](?:[a-z\d\-]{0,62})$/v, 'expected lower-case letters, digits and hyphens');

/** Schema of an entry VM in the list. */
export const entryVmSchema = z.object({
	kind: z.literal('entry'),
	name,
	dataCenter: name,
	state: z.enum(['live', 'leaving']),
	callerAddress: addressSchema,
	operatorAddress: addressSchema,
	peerAddress: addressSchema,
}).readonly();

/** Schema of an upstream in the list. */
export const upstreamSchema = z.object({
	kind: z.literal('upstream'),
	name,
	dataCenter: name,
	state: z.enum(['live', 'leaving']),
	service: name,
	address: addressSchema,
	/** Maximum number of tasks that the upstream runs concurrently. */
	slots: z.int().min(1).max(10_000),
	/** Maximum number of connections that the upstream accepts. */
	connections: z.int().min(1).max(100_000),
	cores: amount,
	memoryMb: amount,
	accelerators: amount,
	rack: z.string().default(''),
}).readonly();

/** Schema of any VM in the list. */
export const listedVmSchema = z.discriminatedUnion('kind', [entryVmSchema, upstreamSchema]);

/** An entry VM in the platform's list. */
export type ListedEntryVm = z.infer<typeof entryVmSchema>;

/** An upstream in the platform's list. */
export type ListedUpstream = z.infer<typeof upstreamSchema>;

/** Any VM in the platform's list. */
export type ListedVm = z.infer<typeof listedVmSchema>;

/** The list of VMs as last read by one entry VM. */
export type VmList = {
	/** Store revision at which the list was read; a higher one is newer. */
	readonly revision: number;
	readonly entryVms: readonly ListedEntryVm[];
	readonly upstreams: readonly ListedUpstream[];
};

/**
 * Parses a VM's entry; returns `undefined` when it is not valid.
 * @param text - Stored value.
 */
export function parseListedVm(text: string): ListedVm | undefined {
	try {
		return listedVmSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}

/**
 * Gets the prefix of the list of VMs; the key of a VM consists of the prefix, its data centre, a slash and its name.
 * @param deployment - Name of the deployment.
 */
export function getVmPrefix(deployment: string): string {
	return `/endivemill/${deployment}/vms/`;
}

/**
 * Gets the key of the configuration.
 * @param deployment - Name of the deployment.
 */
export function getConfigurationKey(deployment: string): string {
	return `/endivemill/${deployment}/configuration`;
}

/**
 * Gets the prefix of the earlier versions of the configuration; it does not start with the key of the configuration.
 * @param deployment - Name of the deployment.
 */
export function getHistoryPrefix(deployment: string): string {
	return `/endivemill/${deployment}/history/`;
}

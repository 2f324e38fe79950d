/**
 * Parser of the settings file that the platform writes for each process.
 */
import * as z from 'zod';
import {type ColdLimits, defaultColdLimits} from '../scheduling/index.js';

const address = z.string().regex(/^[\d.]+:\d{1,5}$/v, 'expected an IP address and a port');
const amount = z.coerce.number().min(0);
const milliseconds = amount;

/** Schema of the settings under the platform's names; unknown settings are ignored. */
const fileSchema = z.object({
	node_name: z.string().min(1),
	zone: z.string().min(1),
	ip: z.string().min(1),
	'listen.front': address,
	'listen.ready': address,
	'listen.control': address,
	seeds: z.string().default(''),
	'platform.address': address,
	'limits.cpu_share': z.coerce.number().positive().default(1),
	// Speed of the processor relative to one core.
	'limits.cores': z.coerce.number().positive().default(1),
	'limits.memory_mb': z.coerce.number().min(0).default(0),
	'limits.max_fds': z.coerce.number().min(0).default(0),
	'bounds.max_hold_ms': milliseconds.default(1000),
	'bounds.grace_s': milliseconds.default(6),
	'bounds.resend_ms': milliseconds.default(1300),
	'bounds.evacuate_ms': milliseconds.default(5000),
	'bounds.cold_overage': amount.default(defaultColdLimits.overage),
	'bounds.cold_slack': amount.default(defaultColdLimits.slack),
});

/** Settings of an entry VM. */
export type PlatformSettings = {
	readonly vm: string;
	readonly dataCenter: string;
	/** All data centres of the deployment. */
	readonly dataCenters: readonly string[];
	readonly callerAddress: string;
	readonly readinessAddress: string;
	readonly peerAddress: string;
	/** IP address of this VM for all other listeners. */
	readonly ip: string;
	/** Peer addresses of some other VMs, which may no longer exist. */
	readonly peerSeeds: readonly string[];
	readonly storeAddress: string;
	/** Cores that the process may use: its share of the processor multiplied by the processor's relative speed. */
	readonly cores: number;
	/** Memory of the VM in megabytes, if the file names it. */
	readonly memoryMb?: number;
	/** Descriptors that the process may open, if the file names their number. */
	readonly maxDescriptors?: number;
	/** Longest lease that upstreams grant a run, in milliseconds. */
	readonly maxLeaseMs: number;
	/** Time from the stop signal to the kill, in milliseconds. */
	readonly stopGraceMs: number;
	/** Time after which a caller without an answer resubmits its job to any VM, in milliseconds. */
	readonly resendMs: number;
	/** Time after which no task is started in a data centre that the operator evacuates, in milliseconds; 5000 by default. */
	readonly evacuateMs?: number;
	/** How much slower cold upstreams are; the platform's defaults by default. */
	readonly coldLimits?: ColdLimits;
};

/** Parsed settings, or the faults, each with its key. */
export type SettingsResult =
	| {readonly ok: true; readonly settings: PlatformSettings}
	| {readonly ok: false; readonly faults: readonly string[]};

const dataCenterKey = /^zones\.(?<name>.+)$/v;

/**
 * Parses the settings file.
 * @param text - Content of the file, with lines of the form `key=value`.
 */
export function parseSettingsFile(text: string): SettingsResult {
	const entries = text.split('\n').flatMap(line => {
		const separator = line.indexOf('=');
		return separator > 0 ? [[line.slice(0, separator).trim(), line.slice(separator + 1).trim()] as const] : [];
	});
	const parsed = fileSchema.safeParse(Object.fromEntries(entries));
	if (!parsed.success) {
		return {ok: false, faults: parsed.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`)};
	}

	const file = parsed.data;
	const dataCenters = entries.flatMap(([key]) => dataCenterKey.exec(key)?.groups?.name ?? []);
	return {
		ok: true,
		settings: {
			vm: file.node_name,
			dataCenter: file.zone,
			dataCenters: dataCenters.length > 0 ? dataCenters : [file.zone],
			callerAddress: file['listen.front'],
			readinessAddress: file['listen.ready'],
			peerAddress: file['listen.control'],
			ip: file.ip,
			peerSeeds: file.seeds.split(',').map(seed => seed.trim()).filter(seed => seed !== ''),
			storeAddress: file['platform.address'],
			cores: file['limits.cpu_share'] * file['limits.cores'],
			memoryMb: file['limits.memory_mb'] || undefined,
			maxDescriptors: file['limits.max_fds'] || undefined,
			maxLeaseMs: file['bounds.max_hold_ms'],
			stopGraceMs: file['bounds.grace_s'] * 1000,
			resendMs: file['bounds.resend_ms'],
			evacuateMs: file['bounds.evacuate_ms'],
			coldLimits: {overage: Math.max(1, file['bounds.cold_overage']), slack: Math.max(1, file['bounds.cold_slack'])},
		},
	};
}

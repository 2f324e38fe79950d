/**
 * Options of an entry VM.
 */
import type Logger from 'bunyan';
import {
	type HttpLimits, type PeerMeshOptions, type TlsStore, type UpstreamClientOptions,
} from '../connection/index.js';
import {type Platform} from '../platform/index.js';
import {type Clock, type Random} from '../seams/index.js';
import {type RecordStoreOptions} from './record-store.js';
import {type SchedulerTuning, type SchedulingPolicies} from './scheduler/index.js';

/** Default maximum size of a caller's request body in bytes. */
export const defaultMaxBodyBytes = 8 * 1024 * 1024;

/** Default maximum size of one job's answer in bytes. */
export const defaultMaxJobAnswerBytes = 16 * 1024 * 1024;

/** Options of {@link createEntryVm}. */
export type EntryVmOptions = {
	readonly clock?: Clock;
	readonly random?: Random;
	readonly log?: Logger;
	/** Name of the deployment; entry VMs connect only to peers of the same deployment. */
	readonly deployment: string;
	readonly dataCenter: string;
	/** Name of this VM. */
	readonly vm: string;
	/** Address and port for callers. In each of the three addresses, port 0 lets the operating system choose a port. */
	readonly callerAddress: string;
	readonly operatorAddress: string;
	readonly peerAddress: string;
	/** Platform to use; the entry VM closes it. */
	readonly platform: Platform;
	/** Key that all entry VMs of the deployment share. */
	readonly peerKey: string;
	/** Peer addresses used to join while the platform is unavailable. */
	readonly peerSeeds?: readonly string[];
	readonly limits?: EntryVmLimits;
	/** Time for which a stopping VM still accepts connections until the load balancer has noticed, in milliseconds. */
	readonly drainMs?: number;
	/** Time after which a graceful stop ends the jobs that are still running, in milliseconds. */
	readonly stopTimeoutMs?: number;
	/** Length of a record period in milliseconds. */
	readonly periodMs?: number;
	/** Mean time between polls of the platform in milliseconds. */
	readonly pollMs?: number;
	/** Bearer token that operators must send; absent: none is required. */
	readonly operatorToken?: string;
	/** TLS certificates and keys; the entry VM closes the stores. */
	readonly tls?: EntryVmTls;
	/** Settings of the connections to the other entry VMs. */
	readonly mesh?: Partial<Pick<
		PeerMeshOptions,
		'dial' | 'listen' | 'heartbeatIntervalMs' | 'remoteHeartbeatIntervalMs' | 'missedHeartbeatsUntilSilent' | 'missedHeartbeatsUntilDown' | 'downRetentionMs' | 'connectTimeoutMs'
	>>;
	/** Settings of the connections to upstreams. */
	readonly upstreams?: Partial<Pick<UpstreamClientOptions, 'connector' | 'connectTimeoutMs'>>;
	readonly policies?: SchedulingPolicies;
	readonly tuning?: Partial<SchedulerTuning>;
};

/** TLS certificates and keys by listener; a listener without them does not use TLS. */
export type EntryVmTls = {
	readonly caller?: TlsStore;
	/** If it has certificate authorities, a client certificate issued by one of them is accepted in place of the operator token. */
	readonly operator?: TlsStore;
	/** Contains the certificate authorities of all entry VMs. */
	readonly peer?: TlsStore;
};

/** Resource limits of an entry VM. */
export type EntryVmLimits = {
	readonly http?: HttpLimits;
	readonly maxBodyBytes?: number;
	/** Size in bytes of all held request bodies at which new ones are refused. */
	readonly maxHeldBytes?: number;
	readonly maxJobsInFlight?: number;
	/** Maximum size of one upstream's answer in bytes. */
	readonly maxAnswerBytes?: number;
	/** Maximum size of one job's answer in bytes. */
	readonly maxJobAnswerBytes?: number;
	readonly records?: RecordStoreOptions;
	readonly maxEvents?: number;
};

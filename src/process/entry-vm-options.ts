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
import {type SchedulerDecisions, type SchedulerTuning} from './scheduler/index.js';

/** Largest body of a caller's request in bytes where the options name none. */
export const defaultMaxBodyBytes = 8 * 1024 * 1024;

/** Largest answer of one job in bytes where the options name none. */
export const defaultMaxJobAnswerBytes = 16 * 1024 * 1024;

/** Options of {@link createEntryVm}. */
export type EntryVmOptions = {
	readonly clock?: Clock;
	readonly random?: Random;
	readonly log?: Logger;
	/** Name of the deployment; its entry VMs talk only to each other. */
	readonly deployment: string;
	readonly dataCenter: string;
	/** Name of this VM. */
	readonly vm: string;
	/** Address and port for callers; port 0 lets the operating system choose, also below. */
	readonly callerAddress: string;
	readonly operatorAddress: string;
	readonly peerAddress: string;
	/** The platform; the entry VM closes it. */
	readonly platform: Platform;
	/** Key that all entry VMs of the deployment share. */
	readonly peerKey: string;
	/** Peer addresses to join through while the platform is away. */
	readonly peerSeeds?: readonly string[];
	readonly limits?: EntryVmLimits;
	/** Time for which a stopping VM still takes connections, so that the balancer notices, in milliseconds. */
	readonly drainMs?: number;
	/** Time after which a graceful stop ends the jobs that still run, in milliseconds. */
	readonly stopTimeoutMs?: number;
	/** Length of a period of records in milliseconds. */
	readonly periodMs?: number;
	/** Mean time between polls of the platform in milliseconds. */
	readonly pollMs?: number;
	/** Token that operators must show; absent: none. */
	readonly operatorToken?: string;
	/** Material for TLS; the entry VM closes it. */
	readonly tls?: EntryVmTls;
	/** Settings of the links to the other entry VMs. */
	readonly mesh?: Partial<Pick<PeerMeshOptions, 'dial' | 'listen' | 'beatMs' | 'farBeatMs' | 'silentBeats' | 'downBeats' | 'forgetMs' | 'connectTimeoutMs'>>;
	/** Settings of the connections to upstreams. */
	readonly upstreams?: Partial<Pick<UpstreamClientOptions, 'connector' | 'connectTimeoutMs'>>;
	readonly decisions?: SchedulerDecisions;
	readonly tuning?: Partial<SchedulerTuning>;
};

/** Material for TLS by address; an address without it is served in plain. */
export type EntryVmTls = {
	readonly caller?: TlsStore;
	/** Where it names authorities, a certificate of theirs is as good as the operators' token. */
	readonly operator?: TlsStore;
	/** Names the authorities of all entry VMs. */
	readonly peer?: TlsStore;
};

/** Bounds of what an entry VM holds. */
export type EntryVmLimits = {
	readonly http?: HttpLimits;
	readonly maxBodyBytes?: number;
	/** Bytes of requests held at the same time. */
	readonly maxHeldBytes?: number;
	readonly maxJobsInFlight?: number;
	/** Largest answer of one upstream in bytes. */
	readonly maxAnswerBytes?: number;
	/** Largest answer of one job in bytes. */
	readonly maxJobAnswerBytes?: number;
	readonly records?: RecordStoreOptions;
	readonly maxEvents?: number;
};

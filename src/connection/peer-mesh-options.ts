/**
 * Options of the links to the other entry VMs.
 */
import type Logger from 'bunyan';
import {type Stream} from 'most';
import {type ListedEntryVm} from '../platform/index.js';
import {EventLog} from '../process/events.js';
import {
	type Clock, type Random, systemClock, systemRandom,
} from '../seams/index.js';
import {type RelayedItem} from './control-link.js';
import {type HeartbeatBody} from './control-messages.js';
import {createImmediateProgress, type InputProgress} from './input-progress.js';
import {type ControlHandler, type Incarnation, type PeerRequestHandler} from './peer-network.js';
import {
	type Dial, dialTcp, type Listen, listenTcp,
} from './tcp-transport.js';

/** Options of {@link createPeerMesh}. */
export type PeerMeshOptions = {
	readonly clock?: Clock;
	readonly random?: Random;
	/** Up to when this process has read its input; by default, it reads everything as it arrives. */
	readonly inputProgress?: InputProgress;
	/** Name of the deployment; entry VMs of other deployments are rejected. */
	readonly deployment: string;
	readonly self: Incarnation;
	/** IP address and port to listen on; port 0 lets the operating system choose. */
	readonly listenAddress: string;
	/** Address advertised to other entry VMs; defaults to the one listened on, which must then not be a wildcard. */
	readonly advertisedAddress?: string;
	/** Secret key shared by all entry VMs of the deployment. */
	readonly key: string;
	/** Gets the status and load of this process, published with each heartbeat. */
	readonly getHeartbeat: () => HeartbeatBody;
	/** Handles the heartbeat of a peer; `from` has a direct link to this process. */
	readonly onHeartbeat?: (body: HeartbeatBody, from: Incarnation) => void;
	/** Gets what is passed on to the peers of this data centre with the next heartbeats; nothing by default. */
	readonly getRelayed?: () => readonly RelayedItem[];
	/** Handles what a peer passes on; not validated. */
	readonly onRelayed?: (relayed: unknown, from: Incarnation) => void;
	/** Handles a control message of a peer. */
	readonly onControl?: ControlHandler;
	/** Handles a request; its signal aborts with a `RequestAbortReason`. */
	readonly onRequest?: PeerRequestHandler;
	/** Called after a pause of this process with its length, in milliseconds; the silence timers of all peers have been reset. */
	readonly onPause?: (gapMs: number) => void;
	/** The platform's list of entry VMs; emits nothing while the list is unavailable. */
	readonly entryVms?: Stream<readonly ListedEntryVm[]>;
	/** Addresses to join through while the list is unavailable. */
	readonly seeds?: readonly string[];
	/** Event log; its logical time is sent with messages in both directions. */
	readonly events?: EventLog;
	readonly log?: Logger;
	readonly dial?: Dial;
	readonly listen?: Listen;
	/** Heartbeat interval within a data centre, in milliseconds. */
	readonly heartbeatIntervalMs?: number;
	/** Heartbeat interval to other data centres, in milliseconds. */
	readonly remoteHeartbeatIntervalMs?: number;
	/**
	 * Gets the interval of heartbeats to a peer, in ticks of its data centre's heartbeat interval; larger than 1 for pairs that need not detect each
	 * other's failure quickly.
	 * The interval is announced to the peer, whose silence timeout grows with it.
	 */
	readonly getHeartbeatIntervalTicks?: (peer: Incarnation) => number;
	/** Time for which a report of another data centre is used, in milliseconds. */
	readonly reportMaxAgeMs?: number;
	/** Missed heartbeats after which a member is silent and a new connection is attempted. */
	readonly missedHeartbeatsUntilSilent?: number;
	/** Missed heartbeats after which a member is down. */
	readonly missedHeartbeatsUntilDown?: number;
	/** Time for which a member is new and has longer silence timeouts, in milliseconds. */
	readonly newMemberMs?: number;
	/** Number of links to each other data centre. */
	readonly remoteLinkCount?: number;
	/** Maximum number of entry VMs in all data centres for which they form a full mesh. */
	readonly maxFullMeshVms?: number;
	/** Time after which a member that is down is removed if it is replaced or not in the list, in milliseconds. */
	readonly downRetentionMs?: number;
	/** Timeout of a dial and of a handshake, in milliseconds. */
	readonly connectTimeoutMs?: number;
	/** Delay after the first failed attempt to dial an address, in milliseconds. */
	readonly minBackoffMs?: number;
	/** Maximum delay between attempts to dial an address, in milliseconds. */
	readonly maxBackoffMs?: number;
	/** Time after which a job connection without requests is closed, in milliseconds. */
	readonly jobIdleMs?: number;
	readonly maxControlFrameBytes?: number;
	/** Maximum size of the encoded body of a request or an answer, in bytes. */
	readonly maxJobBodyBytes?: number;
	/** Maximum bytes of control messages buffered for one peer until it acknowledges them. */
	readonly maxControlBufferBytes?: number;
	/** Maximum number of accepted connections in their handshake at a time. */
	readonly maxHandshakes?: number;
};

/** Options with their defaults. */
export type PeerMeshSettings = Omit<Required<PeerMeshOptions>, 'advertisedAddress' | 'entryVms' | 'log'>
	& Pick<PeerMeshOptions, 'advertisedAddress' | 'entryVms' | 'log'>;

const mebibyte = 1024 * 1024;

const ignore = (): void => undefined;

const defaults = {
	clock: systemClock,
	random: systemRandom,
	seeds: [],
	dial: dialTcp,
	listen: listenTcp,
	heartbeatIntervalMs: 250,
	remoteHeartbeatIntervalMs: 1000,
	missedHeartbeatsUntilSilent: 3,
	missedHeartbeatsUntilDown: 8,
	newMemberMs: 0,
	remoteLinkCount: 2,
	maxFullMeshVms: 0,
	getHeartbeatIntervalTicks: () => 1,
	downRetentionMs: 60_000,
	connectTimeoutMs: 1000,
	minBackoffMs: 50,
	maxBackoffMs: 1000,
	jobIdleMs: 10_000,
	maxControlFrameBytes: mebibyte,
	maxJobBodyBytes: 32 * mebibyte,
	maxControlBufferBytes: mebibyte,
	maxHandshakes: 128,
	getRelayed: () => [],
	onRelayed: ignore,
	onHeartbeat: ignore,
	onControl: ignore,
	onPause: ignore,
	async onRequest() {
		throw new Error('this process takes no requests');
	},
} as const satisfies Partial<PeerMeshOptions>;

/**
 * Gets the options with their defaults.
 * @param options - Options to complete.
 */
export function resolvePeerMeshOptions(options: PeerMeshOptions): PeerMeshSettings {
	const given = Object.fromEntries(Object.entries(options).filter(([, value]) => value !== undefined)) as PeerMeshOptions;
	const {clock = systemClock, self} = options;
	const {missedHeartbeatsUntilSilent, remoteHeartbeatIntervalMs} = {...defaults, ...given};
	return {
		events: new EventLog({clock, process: self.id}), inputProgress: createImmediateProgress(clock), ...defaults, reportMaxAgeMs: missedHeartbeatsUntilSilent * remoteHeartbeatIntervalMs, ...given,
	};
}

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
import {type HeartbeatBody} from './control-messages.js';
import {type ControlHandler, type Incarnation, type PeerRequestHandler} from './peer-network.js';
import {
	type Dial, dialTcp, type Listen, listenTcp,
} from './tcp-transport.js';

/** Options of {@link createPeerMesh}. */
export type PeerMeshOptions = {
	readonly clock?: Clock;
	readonly random?: Random;
	/** Name of the deployment; entry VMs of others are refused. */
	readonly deployment: string;
	readonly self: Incarnation;
	/** IP address and port to listen on; port 0 lets the operating system choose. */
	readonly listenAddress: string;
	/** Address that other entry VMs are told; the one listened on where it is absent, which must then be no wildcard. */
	readonly advertisedAddress?: string;
	/** Key that all entry VMs of the deployment share. */
	readonly key: string;
	/** Gets what this process tells of itself with each heartbeat. */
	readonly getHeartbeat: () => HeartbeatBody;
	/** Takes the heartbeat of a peer; `from` has a direct link to this process. */
	readonly onHeartbeat?: (body: HeartbeatBody, from: Incarnation) => void;
	readonly onControl?: ControlHandler;
	/** Takes a request; its signal aborts with a `RequestAbortReason`. */
	readonly onRequest?: PeerRequestHandler;
	/** Takes the length of a pause of this process, after which every peer gets a new chance to be heard. */
	readonly onPause?: (gapMs: number) => void;
	/** The platform's list; silent while the list is away. */
	readonly entryVms?: Stream<readonly ListedEntryVm[]>;
	/** Addresses to join through while the list is away. */
	readonly seeds?: readonly string[];
	/** Time line; its logical time goes with the messages both ways. */
	readonly events?: EventLog;
	readonly log?: Logger;
	readonly dial?: Dial;
	readonly listen?: Listen;
	/** Time between heartbeats within a data centre. */
	readonly beatMs?: number;
	/** Time between heartbeats to other data centres. */
	readonly farBeatMs?: number;
	/**
	 * Gets every how many ticks a heartbeat goes to a peer; for pairs of which neither needs to know at once when the other dies.
	 * The peer is told, and takes this process for silent only later.
	 */
	readonly getHeartbeatIntervalFactor?: (peer: Incarnation) => number;
	/** Time for which a report of another data centre counts, in milliseconds. */
	readonly reportMaxAgeMs?: number;
	/** Heartbeats missed before a member is silent and a new connection is tried. */
	readonly silentBeats?: number;
	/** Heartbeats missed before a member is down. */
	readonly downBeats?: number;
	/** Time for which a member counts as new, in milliseconds; its silence is then borne for longer. */
	readonly newMemberMs?: number;
	/** Links to each other data centre. */
	readonly remoteLinkCount?: number;
	/** Entry VMs of all data centres up to which each is linked to each. */
	readonly maxFullMeshVms?: number;
	/** Time after which a down member that the list does not name is forgotten. */
	readonly forgetMs?: number;
	/** Time limits of a dial and of a handshake. */
	readonly connectTimeoutMs?: number;
	readonly minBackoffMs?: number;
	readonly maxBackoffMs?: number;
	/** Time after which a job connection without requests is closed. */
	readonly jobIdleMs?: number;
	readonly maxControlFrameBytes?: number;
	/** Longest encoded body of a request or an answer. */
	readonly maxJobBodyBytes?: number;
	/** Bytes of control messages kept for one peer until it acknowledges them. */
	readonly maxControlBufferBytes?: number;
	/** Connections taken that may be in their handshake at a time. */
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
	beatMs: 250,
	farBeatMs: 1000,
	silentBeats: 3,
	downBeats: 8,
	newMemberMs: 0,
	remoteLinkCount: 2,
	maxFullMeshVms: 0,
	getHeartbeatIntervalFactor: () => 1,
	forgetMs: 60_000,
	connectTimeoutMs: 1000,
	minBackoffMs: 50,
	maxBackoffMs: 1000,
	jobIdleMs: 10_000,
	maxControlFrameBytes: mebibyte,
	maxJobBodyBytes: 32 * mebibyte,
	maxControlBufferBytes: mebibyte,
	maxHandshakes: 128,
	onHeartbeat: ignore,
	onControl: ignore,
	onPause: ignore,
	async onRequest() {
		throw new Error('this process takes no requests');
	},
} as const satisfies Partial<PeerMeshOptions>;

/**
 * Gets the options with their defaults.
 * @param options - Options given.
 */
export function resolvePeerMeshOptions(options: PeerMeshOptions): PeerMeshSettings {
	const given = Object.fromEntries(Object.entries(options).filter(([, value]) => value !== undefined)) as PeerMeshOptions;
	const {clock = systemClock, self} = options;
	const {silentBeats, farBeatMs} = {...defaults, ...given};
	return {
		events: new EventLog({clock, process: self.id}), ...defaults, reportMaxAgeMs: silentBeats * farBeatMs, ...given,
	};
}

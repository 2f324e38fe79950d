/**
 * State that one process stores about another incarnation.
 */
import {ControlChannel} from './control-channel.js';
import {type ControlLink} from './control-link.js';
import {type JobClient} from './job-client.js';
import {type Incarnation, type Member, type MemberState} from './peer-network.js';

/** Factor on the silence timeouts of new members. A smaller one marks starting VMs silent; a larger one detects the failure of a new VM late. */
const newMemberTimeoutFactor = 4;

/**
 * State of one other incarnation.
 * @internal
 */
export class MemberRecord {
	readonly channel: ControlChannel;
	state: MemberState = 'silent';
	isLeaving = false;
	configurationVersion = 0;
	claims: Readonly<Record<string, number>> = {};
	cores = 1;
	/** Monotonic time of the last sign of life. */
	lastReceived: number;
	/** Monotonic time at which the incarnation was discovered. */
	readonly knownSince: number;
	/** Monotonic time at which the member went down. */
	downSince = 0;
	link: ControlLink | undefined;
	/** Heartbeat interval that the member announced over its last link, in milliseconds; 0 for the default interval. */
	announcedIntervalMs = 0;
	/** Monotonic time since which the link is no longer planned; `undefined` while it is. */
	surplusSince: number | undefined;
	/** Identifier of the last link, kept after the link closes; empty for none. */
	lastLinkId = '';
	jobClient: JobClient | undefined;
	/** Highest identifier of a job request accepted from this incarnation. */
	lastRequestId = 0;

	constructor(readonly incarnation: Incarnation, public address: string, options: {readonly now: number; readonly maxBufferBytes: number; readonly maxFrameBytes: number}) {
		this.lastReceived = options.now;
		this.knownSince = options.now;
		this.channel = new ControlChannel(options);
	}

	/** Gets the link if it is open, else `undefined`. */
	getOpenLink(): ControlLink | undefined {
		return this.link?.isClosed() ? undefined : this.link;
	}

	/** Gets the monotonic time of the last sign of life, received over the link or reported by others. */
	getLastReceived(): number {
		// Stored here, so that the time of the last sign of life outlives a link that is closed for its silence.
		this.lastReceived = Math.max(this.lastReceived, this.getOpenLink()?.getLastReceived() ?? 0);
		return this.lastReceived;
	}

	/**
	 * Gets the factor on the silence timeouts of the member. The start of a process takes all CPU time of a small VM, and after a loss of all
	 * VMs that of every VM; closing and reopening links meanwhile would take more of it.
	 * @param now - Monotonic time.
	 * @param newMemberMs - Time for which a member is new, in milliseconds.
	 */
	getTimeoutFactor(now: number, newMemberMs: number): number {
		return now - this.knownSince < newMemberMs ? newMemberTimeoutFactor : 1;
	}

	/** Gets the public view of the member. */
	toMember(): Member {
		return {
			incarnation: this.incarnation,
			state: this.state,
			isLeaving: this.isLeaving,
			peerAddress: this.address,
			configurationVersion: this.configurationVersion,
			claims: this.claims,
			cores: this.cores,
		};
	}
}

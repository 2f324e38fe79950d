/**
 * What one process keeps of another incarnation.
 */
import {ControlChannel} from './control-channel.js';
import {type ControlLink} from './control-link.js';
import {type JobClient} from './job-client.js';
import {type Incarnation, type Member, type MemberState} from './peer-network.js';

/** Factor on the time of silence of new members. Smaller, VMs that start are taken for silent; larger, new ones that die are missed later. */
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
	/** Monotonic time since which the incarnation is known here. */
	readonly knownSince: number;
	/** Monotonic time at which the member went down. */
	downSince = 0;
	link: ControlLink | undefined;
	/** Time between heartbeats that the member announced over its last link, in milliseconds; 0 for the usual one. */
	announcedIntervalMs = 0;
	/** Monotonic time since which the link is not planned. */
	surplusSince: number | undefined;
	/** Identifier of the last link, also after its end; empty for none. */
	lastLinkId = '';
	jobClient: JobClient | undefined;
	/** Highest identifier of a job request taken from this incarnation. */
	lastRequestId = 0;

	constructor(readonly incarnation: Incarnation, public address: string, options: {readonly now: number; readonly maxBufferBytes: number; readonly maxFrameBytes: number}) {
		this.lastReceived = options.now;
		this.knownSince = options.now;
		this.channel = new ControlChannel(options);
	}

	/** Gets the link if it is open. */
	getOpenLink(): ControlLink | undefined {
		return this.link?.isClosed() ? undefined : this.link;
	}

	/** Gets the time of the last sign of life, over the link or through others. */
	getLastReceived(): number {
		// Kept here, since a link that is closed for its silence must not take the time of its last sign of life with it.
		this.lastReceived = Math.max(this.lastReceived, this.getOpenLink()?.getLastReceived() ?? 0);
		return this.lastReceived;
	}

	/**
	 * Gets the factor on the time after which the member counts as silent. The start of a process takes all of a small VM's time, and after a
	 * loss of all VMs that of each VM; links that are given up for it and made anew take more of it.
	 * @param now - Monotonic time.
	 * @param newMemberMs - Time for which a member counts as new, in milliseconds.
	 */
	getTimeoutFactor(now: number, newMemberMs: number): number {
		return now - this.knownSince < newMemberMs ? newMemberTimeoutFactor : 1;
	}

	/** Gets the member as others see it. */
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

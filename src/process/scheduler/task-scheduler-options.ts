/**
 * Options and interface of the scheduler of one entry VM.
 */
import {type Stream} from 'most';
import {type ControlMessage, type Incarnation, type Member} from '../../connection/index.js';
import {type ListedUpstream} from '../../platform/index.js';
import {type Clock, type Random} from '../../seams/index.js';
import {type Configuration} from '../../version/index.js';
import {type EventLog} from '../events.js';
import {type TaskScheduler} from '../task-scheduler.js';
import {type SchedulerCounters} from './scheduler-counters.js';
import {type SchedulerTuning} from './scheduler-tuning.js';
import {type SchedulingPolicies} from './service-scheduler-options.js';

/** Options of a scheduler. */
export type TaskSchedulerOptions = {
	readonly clock?: Clock;
	readonly random?: Random;
	/** This entry VM. */
	readonly self: Incarnation;
	/** Upstreams of all data centres, as listed. */
	readonly upstreams: Stream<readonly ListedUpstream[]>;
	/** Configuration in force. */
	readonly configuration: Stream<Configuration>;
	/** The other entry VMs. */
	readonly members: Stream<readonly Member[]>;
	/**
	 * Sends a control message; false when it was not taken.
	 * @param incarnationId - Member to send to.
	 * @param message - Message to send.
	 */
	readonly sendControl: (incarnationId: string, message: ControlMessage) => boolean;
	readonly events: EventLog;
	/** Decisions in place of the usual ones. */
	readonly policies?: SchedulingPolicies;
	readonly tuning?: Partial<SchedulerTuning>;
};

/** A scheduler that shares slots with those of the other entry VMs. */
export type SlotScheduler = TaskScheduler & {
	/**
	 * Takes a control message of the topic `slots`.
	 * @param message - Message received.
	 * @param fromIncarnationId - Member that sent it.
	 */
	handleControl(message: ControlMessage, fromIncarnationId: string): void;

	/** Tells that the process may have been taken for dead: leases are void, and nothing starts until the view is confirmed. */
	handlePause(): void;

	/** Tells that the lists of members and upstreams are fresh again. */
	confirmView(): void;

	/** Tells that this entry VM leaves: the others count its upstreams from now on, and its tasks go on under leases. */
	handleStopping(): void;

	/** Gets the counts for metrics. */
	getCounters(): Readonly<SchedulerCounters>;
};

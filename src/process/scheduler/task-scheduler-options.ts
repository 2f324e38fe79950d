/**
 * Options and interface of the task scheduler of one entry VM.
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

/** Options of a task scheduler. */
export type TaskSchedulerOptions = {
	readonly clock?: Clock;
	readonly random?: Random;
	/** Incarnation of this entry VM. */
	readonly self: Incarnation;
	/** Listed upstreams of all data centres. */
	readonly upstreams: Stream<readonly ListedUpstream[]>;
	/** Current configuration. */
	readonly configuration: Stream<Configuration>;
	/** The other entry VMs. */
	readonly members: Stream<readonly Member[]>;
	/**
	 * Sends a control message; returns false when it was not accepted for sending.
	 * @param incarnationId - Incarnation ID of the receiver.
	 * @param message - Message to send.
	 */
	readonly sendControl: (incarnationId: string, message: ControlMessage) => boolean;
	readonly events: EventLog;
	/** Policies that replace the default ones. */
	readonly policies?: SchedulingPolicies;
	readonly tuning?: Partial<SchedulerTuning>;
};

/** A task scheduler that shares slots with the schedulers of the other entry VMs. */
export type SlotScheduler = TaskScheduler & {
	/**
	 * Handles a control message of the topic `slots`.
	 * @param message - Received message.
	 * @param fromIncarnationId - Incarnation ID of the sender.
	 */
	handleControl(message: ControlMessage, fromIncarnationId: string): void;

	/** Handles a pause after which others may consider this process dead: voids its leases and starts nothing until the view is confirmed. */
	handlePause(): void;

	/** Confirms that the lists of members and upstreams are up to date, and resumes starting tasks. */
	confirmView(): void;

	/** Prepares to leave: the other entry VMs take over the owned upstreams, and running tasks continue under leases. */
	handleStopping(): void;

	/** Gets the counters for metrics. */
	getCounters(): Readonly<SchedulerCounters>;
};

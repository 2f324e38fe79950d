/**
 * Dependencies shared by the parts of a scheduler.
 */
import {type Clock, type Random} from '../../seams/index.js';
import {type Incarnation} from '../../connection/index.js';
import {type EventLog} from '../events.js';
import {type Outbox} from './outbox.js';
import {type SchedulerCounters} from './scheduler-counters.js';

/** Dependencies shared by the parts of a scheduler. */
export type SchedulerContext = {
	readonly clock: Clock;
	readonly random: Random;
	readonly self: Incarnation;
	readonly events: EventLog;
	readonly counters: SchedulerCounters;
	/** Gets the outbox of a member; `undefined` when the member is not up or the scheduler is closed. */
	readonly getOutbox: (memberId: string) => Outbox | undefined;
};

/**
 * What the parts of one scheduler share.
 */
import {type Clock, type Random} from '../../seams/index.js';
import {type Incarnation} from '../../connection/index.js';
import {type EventLog} from '../events.js';
import {type Outbox} from './outbox.js';
import {type SchedulerCounters} from './scheduler-counters.js';

/** What the parts of one scheduler share. */
export type SchedulerContext = {
	readonly clock: Clock;
	readonly random: Random;
	readonly self: Incarnation;
	readonly events: EventLog;
	readonly counters: SchedulerCounters;
	/** Gets the messages to a member; `undefined` when it is not up. */
	readonly getOutbox: (memberId: string) => Outbox | undefined;
};

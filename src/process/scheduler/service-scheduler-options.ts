/**
 * Options of the scheduler of one service.
 */
import {type Profile} from '../../version/index.js';
import {type AdmissionFunction} from './admission.js';
import {type JobOrderFactory} from './job-order.js';
import {type SchedulerContext} from './scheduler-context.js';
import {type SchedulerTuning} from './scheduler-tuning.js';
import {type TeamLimits} from './team-limits.js';
import {type UpstreamChoice} from './upstream-choice.js';

/** Decisions that may be replaced. */
export type SchedulerDecisions = {
	readonly createOrder?: JobOrderFactory;
	readonly chooseUpstream?: UpstreamChoice;
	readonly admit?: AdmissionFunction;
};

/** Options of a {@link ServiceScheduler}. */
export type ServiceSchedulerOptions = {
	readonly service: string;
	readonly profile: Profile;
	readonly context: SchedulerContext;
	readonly limits: TeamLimits;
	readonly decisions?: SchedulerDecisions;
	readonly tuning?: SchedulerTuning;
};

/**
 * Options of a service's scheduler.
 */
import {type Profile} from '../../version/index.js';
import {type AdmissionPolicy} from './admission.js';
import {type JobOrderFactory} from './job-order.js';
import {type SchedulerContext} from './scheduler-context.js';
import {type SchedulerTuning} from './scheduler-tuning.js';
import {type TeamLimits} from './team-limits.js';
import {type UpstreamChoice} from './upstream-choice.js';

/** Policies that replace the default ones. */
export type SchedulingPolicies = {
	readonly createOrder?: JobOrderFactory;
	readonly chooseUpstream?: UpstreamChoice;
	readonly admit?: AdmissionPolicy;
};

/** Options of a {@link ServiceScheduler}. */
export type ServiceSchedulerOptions = {
	readonly service: string;
	readonly profile: Profile;
	readonly context: SchedulerContext;
	readonly limits: TeamLimits;
	readonly policies?: SchedulingPolicies;
	readonly tuning?: SchedulerTuning;
};

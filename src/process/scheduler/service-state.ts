/**
 * State shared by the components of one service's scheduler.
 */
import {type Profile} from '../../version/index.js';
import {MovingAverage} from './moving-average.js';
import {type JobOrder} from './job-order.js';
import {JobQueue} from './job-queue.js';
import {JobTable} from './job-table.js';
import {type MemberView} from './member-view.js';
import {type SchedulerContext} from './scheduler-context.js';
import {SlotPool} from './slot-pool.js';
import {type TeamLimits} from './team-limits.js';
import {UpstreamShapes} from './upstream-shapes.js';

/** State shared by the components of one service's scheduler. */
export type ServiceState = {
	readonly service: string;
	readonly context: SchedulerContext;
	readonly limits: TeamLimits;
	readonly pool: SlotPool;
	readonly queue: JobQueue;
	readonly jobs: JobTable;
	readonly shapes: UpstreamShapes;
	/** Moving average of the service's task durations in milliseconds. */
	readonly taskTime: MovingAverage;
	/** Gets the current profile. */
	readonly getProfile: () => Profile;
};

/** Options of {@link createServiceState}. */
export type ServiceStateOptions = Pick<ServiceState, 'service' | 'context' | 'limits' | 'getProfile'> & {
	readonly order: JobOrder;
	readonly view: MemberView;
	/** Called when slots may have become free after a claim round or with the end of a departed holder's leases. */
	readonly onChange: () => void;
};

/** Assumed duration of a task before the first observation, in milliseconds. */
const initialTaskMs = 250;

/** Window of the moving average of task durations, in tasks. */
const taskTimeSamples = 200;

/**
 * Creates the state of a service that has no jobs and no upstreams yet.
 * @param options - Options of the state.
 */
export function createServiceState(options: ServiceStateOptions): ServiceState {
	const {
		service, context, limits, getProfile, order, view, onChange,
	} = options;
	const taskTime = new MovingAverage(initialTaskMs, taskTimeSamples);
	const getTaskMs = (): number => taskTime.getMean();
	const queue = new JobQueue({order, getWeight: team => limits.getWeight(team)});
	const jobs = new JobTable({queue, limits, getTaskMs});
	const pool = new SlotPool({
		service, context, getExpectedTaskMs: getTaskMs, getTaskTimeoutMs: () => getProfile().taskTimeoutMs, onChange,
	}, view);
	return {
		service, context, limits, pool, queue, jobs, shapes: new UpstreamShapes(), taskTime, getProfile,
	};
}

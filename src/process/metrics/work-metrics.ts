/**
 * Metrics of submissions, queues, slots, leases, upstreams and messages without effect.
 */
import {type QueueStatus, type UpstreamStatus} from '../task-scheduler.js';
import {
	type MetricsSource, type Sample, type SourceMetric, getSamples,
} from './metrics-source.js';
import {countBy} from './process-metrics.js';

const millisecondsPerSecond = 1000;

/** Metrics about jobs, tasks, slots and upstreams. */
export const workMetrics: readonly SourceMetric[] = [
	{
		name: 'endivemill_jobs_in_progress',
		type: 'gauge',
		help: 'Jobs queued or running here.',
		read: ({status}) => [{value: status.jobsInProgress}],
	},
	{
		name: 'endivemill_submissions_total',
		type: 'counter',
		help: 'Submissions to this coordinator, by what became of them.',
		labelNames: ['result'],
		read: ({status: {coordinator}}) => getSamples('result', {submitted: coordinator.submitted, joined: coordinator.joined, cancelled: coordinator.cancelled}),
	},
	{
		name: 'endivemill_forwarded_operations_total',
		type: 'counter',
		help: 'Operations of callers passed between entry VMs, by what happened.',
		labelNames: ['event'],
		read: ({status: {router}}) => getSamples('event', {
			forwarded: router.forwarded, retried: router.retried, received: router.received, invalid: router.invalid,
		}),
	},
	{
		name: 'endivemill_job_records',
		type: 'gauge',
		help: 'Job records kept, own ones and those taken over from entry VMs that stopped.',
		labelNames: ['origin'],
		read: ({status: {records}}) => getSamples('origin', {
			own: records.records, adopted: records.adopted.reduce((sum, adopted) => sum + adopted.records, 0),
		}),
	},
	{
		name: 'endivemill_kept_answer_bytes',
		type: 'gauge',
		help: 'Bytes of answers kept for callers that submit again.',
		read: ({status}) => [{value: status.records.answerBytes}],
	},
	{
		name: 'endivemill_admitted_jobs_total',
		type: 'counter',
		help: 'Jobs admitted to a queue.',
		read: ({status}) => [{value: status.schedulerCounters.admittedJobs}],
	},
	{
		name: 'endivemill_refused_jobs_total',
		type: 'counter',
		help: 'Jobs refused before any of their tasks started, by reason.',
		labelNames: ['reason'],
		read: ({status}) => getSamples('reason', status.schedulerCounters.refusedJobs),
	},
	{
		name: 'endivemill_expired_jobs_total',
		type: 'counter',
		help: 'Jobs whose deadline passed with tasks still queued.',
		read: ({status}) => [{value: status.schedulerCounters.expiredJobs}],
	},
	{
		name: 'endivemill_task_starts_total',
		type: 'counter',
		help: 'Tasks handed to an upstream, retries among them, by whose slot was used.',
		labelNames: ['slot'],
		read: ({status: {schedulerCounters: {starts, leasedStarts}}}) => getSamples('slot', {own: starts - leasedStarts, leased: leasedStarts}),
	},
	{
		name: 'endivemill_task_retries_total',
		type: 'counter',
		help: 'Retries of tasks, by whether the retry budget allowed them.',
		labelNames: ['result'],
		read: ({status: {schedulerCounters}}) => getSamples('result', {allowed: schedulerCounters.retries, denied: schedulerCounters.deniedRetries}),
	},
	{
		name: 'endivemill_slot_messages_total',
		type: 'counter',
		help: 'Messages about slots sent to other entry VMs.',
		read: ({status}) => [{value: status.schedulerCounters.messages}],
	},
	{
		name: 'endivemill_slot_updates_total',
		type: 'counter',
		help: 'Updates carried by the messages about slots, by kind.',
		labelNames: ['kind'],
		read: ({status: {schedulerCounters: {demands, grants, returns, revocations, claims, teamUpdates}}}) => getSamples('kind', {
			demand: demands, grant: grants, return: returns, revocation: revocations, claim: claims, team: teamUpdates,
		}),
	},
	{
		name: 'endivemill_wasted_messages_total',
		type: 'counter',
		help: 'Messages that led to nothing, by kind.',
		labelNames: ['kind'],
		read: ({status: {upstreams, schedulerCounters, router, peerTraffic: {faults}}}) => getSamples('kind', {
			upstream: upstreams.outcomes.failed,
			slot: schedulerCounters.ignoredMessages,
			forward: router.retried,
			duplicate: (faults['duplicate-message'] ?? 0) + (faults['duplicate-request'] ?? 0),
		}),
	},
	{
		name: 'endivemill_queued_tasks',
		type: 'gauge',
		help: 'Tasks that wait for a slot, by service.',
		labelNames: ['service'],
		read: source => readQueues(source, ({queuedTasks}) => queuedTasks),
	},
	{
		name: 'endivemill_running_tasks',
		type: 'gauge',
		help: 'Tasks running at upstreams, by service.',
		labelNames: ['service'],
		read: source => readQueues(source, ({runningTasks}) => runningTasks),
	},
	{
		name: 'endivemill_expected_wait_seconds',
		type: 'gauge',
		help: 'Time that a new task is expected to wait for a slot, by service.',
		labelNames: ['service'],
		read: source => readQueues(source, ({expectedWaitMs}) => expectedWaitMs / millisecondsPerSecond),
	},
	{
		name: 'endivemill_upstreams',
		type: 'gauge',
		help: 'Upstreams as seen from here, by service and state.',
		labelNames: ['service', 'state'],
		read: source => readUpstreams(source, upstreams => getSamples('state', countBy(upstreams.map(({state}) => state), ['live', 'leaving', 'ejected', 'probing']))),
	},
	{
		name: 'endivemill_slots',
		type: 'gauge',
		help: 'Slots, by service and kind: owned ones in all, in use by this entry VM and leased out, and those leased from others.',
		labelNames: ['service', 'kind'],
		read: source => readUpstreams(source, upstreams => getSamples('kind', {
			owned: sum(upstreams.filter(({isOwned}) => isOwned).map(({slots}) => slots)),
			'in-use': sum(upstreams.map(({inUse}) => inUse)),
			'leased-out': sum(upstreams.map(({leasedOut}) => leasedOut)),
			held: sum(upstreams.map(({held}) => held)),
		})),
	},
	{
		name: 'endivemill_upstream_requests_total',
		type: 'counter',
		help: 'Requests to upstreams that ended, by outcome.',
		labelNames: ['outcome'],
		read: ({status: {upstreams: {outcomes}}}) => getSamples('outcome', {answered: outcomes.answered, failed: outcomes.failed, 'not-started': outcomes.notStarted}),
	},
	{
		name: 'endivemill_upstream_timeouts_total',
		type: 'counter',
		help: 'Requests to upstreams ended by their time limit.',
		read: ({status}) => [{value: status.upstreams.timeouts}],
	},
	{
		name: 'endivemill_upstream_connections',
		type: 'gauge',
		help: 'Open connections to upstreams.',
		read: ({status}) => [{value: sum(status.upstreams.pools.map(({connections}) => connections))}],
	},
];

function readQueues({status}: MetricsSource, getValue: (queue: QueueStatus) => number): readonly Sample[] {
	return status.scheduler.queues.map(queue => ({labels: {service: queue.service}, value: getValue(queue)}));
}

function readUpstreams({status}: MetricsSource, read: (upstreams: readonly UpstreamStatus[]) => readonly Sample[]): readonly Sample[] {
	const services = new Set(status.scheduler.upstreams.map(({service}) => service));
	return [...services].flatMap(service => {
		const upstreams = status.scheduler.upstreams.filter(upstream => upstream.service === service);
		return read(upstreams).map(({labels, value}) => ({labels: {service, ...labels}, value}));
	});
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

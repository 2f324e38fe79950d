/**
 * Prometheus metrics of an entry VM on the platform.
 */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {
	type CallerMemoryCounters, type HttpCounters, type PeerTraffic, type TrafficCounts,
} from '../connection/index.js';
import {type PoolNode} from '../pool/index.js';
import {type StoreClient} from './store-client.js';
import {type UpstreamList} from './upstream-list.js';

/** Upper bounds in seconds of the buckets of the time for which requests may have waited unread: from a busy VM to `resend_ms`. */
const unreadBuckets = [0.05, 0.1, 0.15, 0.25, 0.4, 0.8, 1.3];

/** Upper bounds of the latency buckets in seconds, from a task of 10 ms to the longest deadline. */
const latencyBuckets = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.9, 1.5, 3];

/** Sources of the metrics that are read when they are requested. */
export type PoolMetricsOptions = {
	readonly node: PoolNode;
	readonly store: StoreClient;
	/** Knows when the upstreams of pools were last read. */
	readonly upstreams: Pick<UpstreamList, 'getAgeMs'>;
	readonly getTraffic: () => PeerTraffic;
	/** Gets the counters of callers' memory and connections. */
	readonly getCallerCounters: () => CallerMemoryCounters & Pick<HttpCounters, 'connections' | 'dropped'>;
};

/** Metrics of one process. */
export class PoolMetrics {
	readonly #registry = new Registry();
	readonly #answers = new Counter({
		name: 'endivemill_answers_total', help: 'Answers to callers', labelNames: ['route', 'status', 'cause'], registers: [this.#registry],
	});

	readonly #latency = new Histogram({
		name: 'endivemill_answer_seconds', help: 'Time from request to answer', labelNames: ['route'], buckets: latencyBuckets, registers: [this.#registry],
	});

	readonly #unread = new Histogram({
		name: 'endivemill_request_unread_seconds', help: 'Time for which a request may have waited until it was read', buckets: unreadBuckets, registers: [this.#registry],
	});

	constructor({node, store, upstreams, getTraffic, getCallerCounters}: PoolMetricsOptions) {
		const addTrafficCounter = (name: string, help: string, getValue: (counts: TrafficCounts) => number): void => {
			this.#addCounter(name, help, () => {
				const {control, job} = getTraffic();
				return getValue(control) + getValue(job);
			});
		};

		addTrafficCounter('endivemill_peer_messages_total', 'Messages sent to other entry VMs', ({messagesSent}) => messagesSent);
		addTrafficCounter('endivemill_peer_heartbeats_total', 'Heartbeats among those messages', ({sentByKind}) => sentByKind.heartbeat ?? 0);
		addTrafficCounter('endivemill_peer_keep_alives_total', 'Keep-alives of job connections among those messages', ({sentByKind}) => sentByKind['keep-alive'] ?? 0);
		addTrafficCounter('endivemill_peer_writes_total', 'Socket writes of messages to other entry VMs', ({writes}) => writes);
		addTrafficCounter('endivemill_peer_bytes_total', 'Bytes of messages to other entry VMs', ({bytesSent}) => bytesSent);
		this.#addGauge('endivemill_pool_cores', 'Cores of the upstreams that take tasks', node, load => load.cores);
		this.#addGauge('endivemill_pool_free_cpu', 'Thousandths of a core that are free', node, load => load.freeCpu);
		this.#addGauge('endivemill_pool_queued_work', 'Core-milliseconds that wait', node, load => load.queuedWork);
		this.#addGauge('endivemill_pool_view_age_ms', 'Age of what is known of a pool', node, ({pool}) => node.directory.getAgeMs(pool));
		const choices = new Counter({
			name: 'endivemill_pool_choices_total', help: 'Decisions on the way of jobs to pools by the age of the report', labelNames: ['kind', 'by', 'reason', 'ms'], registers: [this.#registry],
			collect() {
				choices.reset();
				for (const {kind, by, reason, upToMs, count} of node.getRoutingCounts()) {
					const ms = upToMs === Infinity ? '+Inf' : upToMs ?? '';
					choices.inc({
						kind, by, reason, ms,
					}, count);
				}
			},
		});
		const evacuated = new Gauge({
			name: 'endivemill_evacuated', help: 'Data centres that are evacuated as far as this entry VM knows', labelNames: ['data_center'], registers: [this.#registry],
			collect() {
				evacuated.reset();
				for (const dataCenter of node.evacuations.getState().dataCenters) {
					evacuated.labels(dataCenter).set(1);
				}
			},
		});
		const evacuationRevision = new Gauge({
			name: 'endivemill_evacuation_revision', help: 'Revision of the store at which these data centres were evacuated', registers: [this.#registry],
			collect() {
				evacuationRevision.set(node.evacuations.getState().revision);
			},
		});
		this.#addCounter('endivemill_evacuation_moved_jobs_total', 'Queued jobs released by pools of evacuated data centres', () => node.evacuations.getCounts().movedJobs);
		this.#addCounter('endivemill_evacuation_withheld_starts_total', 'Jobs and lent tasks refused, and unanswered starts withdrawn, by evacuated pools', () => node.evacuations.getCounts().withheldStarts);
		const runs = new Gauge({
			name: 'endivemill_pool_runs', help: 'Runs on the upstreams of a pool owned by this entry VM', labelNames: ['pool'], registers: [this.#registry],
			collect() {
				runs.reset();
				for (const owner of node.getOwners()) {
					runs.set({pool: owner.getPool()}, owner.getUpstreams().reduce((sum, upstream) => sum + upstream.runs, 0));
				}
			},
		});
		const listAge = new Gauge({
			name: 'endivemill_upstream_list_age_ms', help: 'Time since the upstreams of a pool owned by this entry VM were last read, here or by a peer', labelNames: ['pool'], registers: [this.#registry],
			collect() {
				listAge.reset();
				for (const owner of node.getOwners()) {
					listAge.set({pool: owner.getPool()}, upstreams.getAgeMs(owner.getPool()));
				}
			},
		});
		const remoteLoads = new Counter({
			name: 'endivemill_remote_loads_total', help: 'Loads of remote pools passed on within the data centre by their age', labelNames: ['verdict', 'ms'], registers: [this.#registry],
			collect() {
				remoteLoads.reset();
				for (const {verdict, upToMs, count} of node.remoteLoads.getCounts()) {
					remoteLoads.inc({verdict, ms: upToMs === Infinity ? '+Inf' : upToMs}, count);
				}
			},
		});
		const proofAges = new Counter({
			name: 'endivemill_proof_ages_total', help: 'Starts and leases by the age of the proof that the caller waits', labelNames: ['use', 'ms'], registers: [this.#registry],
			collect() {
				proofAges.reset();
				for (const {use, upToMs, count} of node.proofAges.getCounts()) {
					proofAges.inc({use, ms: upToMs === Infinity ? '+Inf' : upToMs}, count);
				}
			},
		});
		const overdueRuns = new Counter({
			name: 'endivemill_late_runs_total', help: 'Runs that took longer than nine of ten, by what was decided', labelNames: ['verdict'], registers: [this.#registry],
			collect() {
				overdueRuns.reset();
				for (const [verdict, count] of node.overdueCounts.getCounts()) {
					overdueRuns.inc({verdict}, count);
				}
			},
		});
		const plannedStarts = new Counter({
			name: 'endivemill_planned_starts_total', help: 'Decisions of the plans of starts, made while not all waiting tasks fit', labelNames: ['decision'], registers: [this.#registry],
			collect() {
				plannedStarts.reset();
				for (const [decision, count] of Object.entries(node.startCounts.getAll())) {
					plannedStarts.inc({decision}, count);
				}
			},
		});
		this.#addSingleGauge('endivemill_caller_held_bytes', 'Memory held for incomplete requests of callers', () => getCallerCounters().heldBytes);
		this.#addSingleGauge('endivemill_caller_connections', 'Open connections of callers', () => getCallerCounters().connections);
		const refused = new Counter({
			name: 'endivemill_caller_connections_refused_total', help: 'Connections of callers that were refused or closed', labelNames: ['cause'], registers: [this.#registry],
			collect() {
				const {refused: counts, dropped} = getCallerCounters();
				refused.reset();
				for (const [cause, count] of Object.entries({...counts, dropped})) {
					refused.inc({cause}, count);
				}
			},
		});
		const slowness = new Gauge({
			name: 'endivemill_pool_slowness', help: 'Smallest and largest learnt slowness of the upstreams of a pool owned here', labelNames: ['pool', 'bound'], registers: [this.#registry],
			collect() {
				slowness.reset();
				for (const owner of node.getOwners()) {
					const values = owner.getUpstreams().map(upstream => upstream.slowness);
					if (values.length > 0) {
						slowness.set({pool: owner.getPool(), bound: 'min'}, Math.min(...values));
						slowness.set({pool: owner.getPool(), bound: 'max'}, Math.max(...values));
					}
				}
			},
		});
		const calls = new Gauge({
			name: 'endivemill_store_calls', help: 'Calls to the store so far', labelNames: ['call'], registers: [this.#registry],
			collect() {
				for (const [call, count] of Object.entries(store.getCounts())) {
					calls.set({call}, count);
				}
			},
		});
	}

	/**
	 * Counts an answer to a caller.
	 * @param answer - Route, status, cause, time since the request and time for which it may have waited unread, in milliseconds.
	 */
	addAnswer({route, status, cause, totalMs, unreadMs}: {readonly route: string; readonly status: number; readonly cause: string; readonly totalMs: number; readonly unreadMs: number}): void {
		this.#answers.inc({route, status, cause});
		this.#latency.observe({route}, totalMs / 1000);
		this.#unread.observe(unreadMs / 1000);
	}

	/** Gets all metrics in the text format of Prometheus. */
	async getText(): Promise<string> {
		return this.#registry.metrics();
	}

	#addCounter(name: string, help: string, getValue: () => number): void {
		const counter = new Counter({
			name, help, registers: [this.#registry],
			collect() {
				counter.reset();
				counter.inc(getValue());
			},
		});
	}

	#addSingleGauge(name: string, help: string, getValue: () => number): void {
		const gauge = new Gauge({
			name, help, registers: [this.#registry],
			collect() {
				gauge.set(getValue());
			},
		});
	}

	#addGauge(name: string, help: string, node: PoolNode, getValue: (load: ReturnType<PoolNode['directory']['getViews']>[number]) => number): void {
		const gauge = new Gauge({
			name, help, labelNames: ['pool'], registers: [this.#registry],
			collect() {
				for (const view of node.directory.getViews()) {
					gauge.set({pool: view.pool}, getValue(view));
				}
			},
		});
	}
}

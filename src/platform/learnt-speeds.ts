/**
 * The speeds of upstreams that the owners of pools have learnt, so that the next owner of a pool knows them: it may be any VM of the data centre.
 */
import * as z from 'zod';
import {type UpstreamDescription} from '../pool/index.js';

/** Topic of the messages between VMs. */
export const speedsTopic = 'pool-speeds';

/** Interval at which an owner examines whether its speeds are to be reported, in milliseconds; an owner learns most of them within it. */
export const speedReportIntervalMs = 3000;

/** Steps of a doubled slowness in a report; one step is 9%. */
const stepsPerDoubling = 8;

/** Difference from the last report in steps from which a speed is reported again: less changes little and would be sent all the time. */
const minReportedSteps = 2;

/** Bounds of a report: a factor of 32 in either direction, and the upstreams of a data centre. */
const maxSteps = 5 * stepsPerDoubling;
const maxUpstreams = 5000;

const reportSchema = z.object({
	pool: z.string(),
	/** Slowness of the upstreams that are not of average speed: logarithm in steps. */
	steps: z.record(z.string(), z.int().min(-maxSteps).max(maxSteps)).refine(steps => Object.keys(steps).length <= maxUpstreams),
});

/** Report of the speeds of a pool's upstreams. */
export type SpeedReport = z.infer<typeof reportSchema>;

/** Last report of a pool owned by this VM, and the incarnations that have received it. */
type SentReport = {readonly report: SpeedReport; readonly to: Set<string>};

/** Creates and receives reports of learnt speeds. */
export class LearntSpeeds {
	/** Slowness by upstream, by pool. */
	readonly #slownessByPool = new Map<string, ReadonlyMap<string, number>>();
	readonly #sent = new Map<string, SentReport>();

	/**
	 * Gets the report of a pool that is owned by this VM.
	 * @param pool - Pool.
	 * @param upstreams - Its upstreams with their slowness.
	 * @returns The report and the incarnations that have received it; `undefined` if all upstreams are of average speed and were so before.
	 */
	getReport(pool: string, upstreams: ReadonlyArray<{readonly id: string; readonly slowness: number}>): SentReport | undefined {
		const steps = Object.fromEntries(upstreams.map(({id, slowness}) => [id, toSteps(slowness)] as const).filter(([, step]) => Math.abs(step) >= minReportedSteps));
		const sent = this.#sent.get(pool);
		if (sent !== undefined && !hasChanged(sent.report.steps, steps)) {
			return sent;
		}

		if (sent === undefined && Object.keys(steps).length === 0) {
			return undefined;
		}

		const report = {pool, steps};
		const created = {report, to: new Set<string>()};
		this.#sent.set(pool, created);
		this.#add(report);
		return created;
	}

	/**
	 * Adds another owner's report.
	 * @param body - Body of the message.
	 * @returns Whether it is valid.
	 */
	addReport(body: unknown): boolean {
		const {data} = reportSchema.safeParse(body);
		if (data !== undefined) {
			this.#sent.delete(data.pool);
			this.#add(data);
		}

		return data !== undefined;
	}

	/**
	 * Adds what is known of their speeds to the upstreams of a pool.
	 * @param pool - Pool.
	 * @param upstreams - Upstreams.
	 */
	addTo(pool: string, upstreams: readonly UpstreamDescription[]): readonly UpstreamDescription[] {
		const slowness = this.#slownessByPool.get(pool);
		return slowness === undefined
			? upstreams
			: upstreams.map(upstream => {
				const learntSlowness = slowness.get(upstream.id);
				return learntSlowness === undefined ? upstream : {...upstream, learntSlowness};
			});
	}

	#add({pool, steps}: SpeedReport): void {
		this.#slownessByPool.set(pool, new Map(Object.entries(steps).map(([id, step]) => [id, 2 ** (step / stepsPerDoubling)])));
	}
}

function toSteps(slowness: number): number {
	return Math.max(-maxSteps, Math.min(maxSteps, Math.round(Math.log2(slowness) * stepsPerDoubling)));
}

function hasChanged(earlier: SpeedReport['steps'], current: SpeedReport['steps']): boolean {
	return [...Object.keys(earlier), ...Object.keys(current)].some(id => Math.abs((earlier[id] ?? 0) - (current[id] ?? 0)) >= minReportedSteps);
}

/**
 * The policies that a run compares.
 */
import {type SchedulerTuning} from '../../src/process/index.js';
import {type ManualClock} from '../../src/testing/manual-clock.js';
import {type Configuration, configurationSchema, type Profile} from '../../src/version/index.js';
import {
	chooseBetterOfTwo, chooseRandom, createDirectDispatcher, createSchedulerGroup, type Dispatcher,
} from './dispatchers.js';
import {type SimulatedUpstream} from './simulated-upstream.js';
import {teams} from './workload.js';

/** A way of dispatching under a name. */
export type Policy = {
	readonly name: string;
	readonly createDispatcher: (clock: ManualClock, upstreams: readonly SimulatedUpstream[]) => Dispatcher;
};

/** Options of the policies. */
export type PolicyOptions = {
	readonly latencyMs: number;
	readonly tuning?: Partial<SchedulerTuning>;
};

const orders = ['fifo', 'fair', 'shortest-remaining'] as const;

/** Creates all policies of a run. */
export function createPolicies(options: PolicyOptions): readonly Policy[] {
	const group = (name: string, order: Profile['order'], nodeCount: number, tuning: Partial<SchedulerTuning> = {}): Policy => ({
		name,
		createDispatcher: (clock, upstreams) => createSchedulerGroup({
			clock, upstreams, nodeCount, latencyMs: options.latencyMs, configuration: createConfiguration({order}), tuning: {...options.tuning, ...tuning},
		}),
	});
	return [
		{name: 'random upstream', createDispatcher: (_clock, upstreams) => createDirectDispatcher(upstreams, chooseRandom)},
		{name: 'better of two upstreams', createDispatcher: (_clock, upstreams) => createDirectDispatcher(upstreams, chooseBetterOfTwo)},
		...orders.map(order => group(`one queue, ${order}`, order, 1)),
		group('2 split, shortest-remaining', 'shortest-remaining', 2, {demandWaitMs: Number.POSITIVE_INFINITY, urgentWaitMs: Number.POSITIVE_INFINITY}),
		...orders.map(order => group(`2 VMs, ${order}`, order, 2)),
		group('3 VMs, shortest-remaining', 'shortest-remaining', 3),
		group('7 VMs, shortest-remaining', 'shortest-remaining', 7),
	];
}

function createConfiguration(profile: Partial<Profile>): Configuration {
	return configurationSchema.parse({
		version: 1,
		changeId: 'bench',
		declarations: {
			profiles: {main: profile},
			services: {seats: {profile: 'main'}},
			teams: Object.fromEntries(teams.map(team => [team.name, {}])),
		},
	});
}

/**
 * Scheduling policies that a run compares.
 */
import {type SchedulerTuning} from '../../src/process/index.js';
import {type ManualClock} from '../../src/testing/manual-clock.js';
import {
	builtInProfiles, type Configuration, configurationSchema, type Profile,
} from '../../src/version/index.js';
import {
	chooseLessLoadedOfTwo, chooseRandom, createDirectDispatcher, createSchedulerGroup, type Dispatcher,
} from './dispatchers.js';
import {type SimulatedUpstream} from './simulated-upstream.js';
import {teams} from './workload.js';

/** A named way of dispatching. */
export type Policy = {
	readonly name: string;
	readonly createDispatcher: (clock: ManualClock, upstreams: readonly SimulatedUpstream[]) => Dispatcher;
};

/** Options that apply to all policies. */
export type PolicyOptions = {
	/** One-way latency of a message between entry VMs, in milliseconds. */
	readonly latencyMs: number;
	readonly tuning?: Partial<SchedulerTuning>;
	/** Settings that override those of each policy's profile. */
	readonly profile?: Partial<Profile>;
};

const orders = ['fifo', 'fair', 'shortest-remaining'] as const;

/** Expected wait that is never reached, so that no slots are requested from other entry VMs: 24 hours, in milliseconds. */
const disabledWaitMs = 86_400_000;

/** Creates all policies of a run. */
export function createPolicies(options: PolicyOptions): readonly Policy[] {
	const createGroupPolicy = (name: string, nodeCount: number, profile: Partial<Profile>, tuning: Partial<SchedulerTuning> = {}): Policy => ({
		name,
		createDispatcher: (clock, upstreams) => createSchedulerGroup({
			clock, upstreams, nodeCount, latencyMs: options.latencyMs, configuration: createConfiguration({...profile, ...options.profile}), tuning: {...options.tuning, ...tuning},
		}),
	});
	return [
		{name: 'random upstream', createDispatcher: (_clock, upstreams) => createDirectDispatcher(upstreams, chooseRandom)},
		{name: 'better of two upstreams', createDispatcher: (_clock, upstreams) => createDirectDispatcher(upstreams, chooseLessLoadedOfTwo)},
		...orders.map(order => createGroupPolicy(`one queue, ${order}`, 1, {order})),
		createGroupPolicy('2 split, shortest-remaining', 2, {leaseWaitMs: disabledWaitMs}, {demandWaitMs: disabledWaitMs}),
		...orders.map(order => createGroupPolicy(`2 VMs, ${order}`, 2, {order})),
		createGroupPolicy('2 VMs, response-first', 2, builtInProfiles['response-first']!),
		createGroupPolicy('2 VMs, message-frugal', 2, builtInProfiles['message-frugal']!),
		createGroupPolicy('3 VMs, shortest-remaining', 3, {}),
		createGroupPolicy('3 VMs, message-frugal', 3, builtInProfiles['message-frugal']!),
		createGroupPolicy('7 VMs, shortest-remaining', 7, {}),
		createGroupPolicy('7 VMs, message-frugal', 7, builtInProfiles['message-frugal']!),
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

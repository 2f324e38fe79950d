/**
 * The checks of simulated fleets find double runs that earlier, wrong readings of an upstream's answers cause.
 */
import test from 'ava';
import {type UpstreamOrders} from '../../src/pool/index.js';
import {createSeededRandom} from '../../src/seams/index.js';
import {createImmediateProgress} from '../../src/connection/index.js';
import {
	getEvacuations, getFleetFaults, getHoldFaults, getUpstreamAnswerFaults, runFleet,
} from '../../src/testing/fleet-run.js';
import {oddAnswerDetail} from '../../src/testing/simulated-upstreams.js';
import {fleetRegressions} from './fleet-regressions.js';

const seed = 1;
const oddAnswers = getUpstreamAnswerFaults(seed, 60).filter(({kind}) => kind === 'odd-answer');

/** Reads an answer that cannot be understood as a refusal. */
function refuseOddAnswers(orders: UpstreamOrders): UpstreamOrders {
	return {
		...orders,
		async startRun(options) {
			const outcome = await orders.startRun(options);
			return outcome.kind === 'unanswered' && outcome.detail === oddAnswerDetail ? {kind: 'refused', reason: 'invalid'} : outcome;
		},
	};
}

/** Drops the list of runs from one answer in twenty. */
function dropLists(orders: UpstreamOrders): UpstreamOrders {
	const random = createSeededRandom(seed);
	return {
		...orders,
		async poll(options) {
			const outcome = await orders.poll(options);
			return outcome.kind === 'seen' && random.getFloat() < 0.05 ? {...outcome, running: []} : outcome;
		},
	};
}

test('a fleet whose upstreams give odd answers violates no invariant', async t => {
	const {violations} = await runFleet(seed, oddAnswers);
	t.deepEqual(violations, []);
});

for (const {name, faults, wrapOrders} of [
	{name: 'an odd answer is read as a refusal', faults: oddAnswers, wrapOrders: refuseOddAnswers},
	{name: 'a list that is missing is read as an empty one', faults: [], wrapOrders: dropLists},
]) {
	test(`a fleet in which ${name} has double runs`, async t => {
		const {violations} = await runFleet(seed, faults, {wrapOrders});
		t.true(violations.some(({rule}) => rule === 'double-run'));
	});
}

/**
 * Decisions under which the faults of the fleets below were drawn: with others, tasks start at other times and places, and the wrong readings
 * cause no double run in these fleets.
 */
const formerScheduling = {
	stopsByEvidence: false, learnsDurations: false, reservesCapacity: false, balancesDataCentres: false, commitsWaitingJobs: false,
};

/** Fleets in which the senders' proof matters: drawn faults without those of the store, and faults of a regression in another fleet. */
const unprovenFleets = [
	{seed: 108, faults: getFleetFaults(108, 20).filter(({kind}) => !kind.startsWith('store-'))},
	{seed: 164, faults: fleetRegressions.find(({seed}) => seed === 50_009)!.faults},
];

for (const {seed, faults} of unprovenFleets) {
	test(`a fleet in which senders prove that they wait has no double runs (seed ${seed})`, async t => {
		for (const scheduling of [formerScheduling, {}]) {
			const {violations} = await runFleet(seed, faults, {scheduling});
			t.deepEqual(violations, []);
		}
	});

	test(`a fleet in which every connected sender counts as waiting has double runs (seed ${seed})`, async t => {
		const {violations} = await runFleet(seed, faults, {
			scheduling: formerScheduling,
			wrapConfirmation: () => ({getConfirmedAt: () => Infinity, async requestConfirmation() {/* Never needed. */}}),
		});
		t.true(violations.some(({rule}) => rule === 'double-run'));
	});
}

/** A fleet whose processes are held between two events, and whose callers leave soon after they submitted long jobs. */
const heldFleet = {seed: 17, faults: [...getFleetFaults(17, 6).filter(({kind}) => kind === 'freeze' || kind === 'store-away'), ...getHoldFaults(17, 25)]};
const leavers = {hasLeavers: true, hasResenders: true};

test('a fleet whose processes are held between two events and whose callers leave has no double runs', async t => {
	for (const scheduling of [formerScheduling, {}]) {
		const {violations} = await runFleet(heldFleet.seed, heldFleet.faults, {...leavers, scheduling});
		t.deepEqual(violations, []);
	}
});

test('a fleet whose processes take what they have read for all that has arrived has double runs', async t => {
	const {violations} = await runFleet(heldFleet.seed, heldFleet.faults, {...leavers, scheduling: formerScheduling, wrapProgress: (_, clock) => createImmediateProgress(clock)});
	t.true(violations.some(({rule}) => rule === 'double-run'));
});

/** A fleet in which runs go on for as long after their callers left as the proofs of the senders allow. */
const provenFleet = {seed: 226, faults: [...getFleetFaults(226, 25), ...getHoldFaults(226, 10)]};

/** Time by which proofs are taken to be younger, in milliseconds: about twice the margin between the end of the leases and the caller's next submission. */
const youngerMs = 300;

test('a fleet in which proofs are as old as they are has no starts below their bounds', async t => {
	for (const scheduling of [formerScheduling, {}]) {
		const {violations} = await runFleet(provenFleet.seed, provenFleet.faults, {...leavers, scheduling});
		t.deepEqual(violations, []);
	}
});

test('a fleet in which proofs are taken to be younger has starts below their bounds, though no double runs', async t => {
	const {violations} = await runFleet(provenFleet.seed, provenFleet.faults, {
		...leavers,
		scheduling: formerScheduling,
		wrapConfirmation: confirmation => ({
			getConfirmedAt: () => confirmation.getConfirmedAt() + youngerMs,
			requestConfirmation: async () => confirmation.requestConfirmation(),
		}),
	});
	t.deepEqual([...new Set(violations.map(({rule}) => rule))], ['early-restart']);
});

/** A fleet whose data centres are evacuated one after the other and together, among other faults. */
const evacuatedFleet = {seed: 3, faults: [...getFleetFaults(3, 4).filter(({kind}) => kind === 'kill' || kind === 'stop' || kind === 'crash'), ...getEvacuations(3, 4)]};

test('a fleet starts nothing in evacuated data centres', async t => {
	const {evacuations, starts, violations} = await runFleet(evacuatedFleet.seed, evacuatedFleet.faults);
	t.deepEqual(violations, []);
	// Starts go on elsewhere, and after the end.
	t.true(evacuations.some(({from, until, boundMs}) => until - from > boundMs));
	const ended = evacuations.filter(({until}) => until < 9000);
	t.true(ended.length > 0);
	t.true(ended.every(({dataCenter, until}) => starts.some(({upstream, startedAt}) => upstream.startsWith(dataCenter) && startedAt > until && startedAt < until + 1000)));
});

test('a fleet whose VMs do not heed the operator\'s items starts tasks in evacuated data centres', async t => {
	const {violations} = await runFleet(evacuatedFleet.seed, evacuatedFleet.faults, {wrapEvacuated: () => []});
	t.deepEqual([...new Set(violations.map(({rule}) => rule))], ['evacuated-start']);
});

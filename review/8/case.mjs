/* eslint-disable camelcase -- The field names of the platform's messages are given. */
/**
 * Jobs whose step has `max_per_server`, while the traffic of another queue is 1.9 times the usual one for 3.2 s.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	createId, Deployment, isTroubled, record, runCase,
} from '../lib-2/deployment.mjs';

/** The largest kind of the site: four tasks of 0.9 s on 6.8 cores, which fill two minions. In usual traffic one such job runs at a time. */
const largeStep = {
	count: 4, cpu: 6800, mem_mb: 64, estimate_ms: 900,
};
const largeMs = 900;
const largeIntervalMs = 1200;

/** Factor and length of the burst, by the site file. */
const burstFactor = 1.9;
const burstMs = 3200;

/** Five tasks, of which two fit on an idle minion; by their limit they have to be on different ones. */
const limitedStep = {
	count: 5, cpu: 7000, mem_mb: 64, estimate_ms: 100, max_per_server: 1,
};
/** Time after each large job at which such a job is sent, in milliseconds. */
const limitedDelayMs = 100;

const phases = [
	{ms: 4000, isBurst: false}, {ms: burstMs, isBurst: true}, {ms: 6000, isBurst: false}, {ms: burstMs, isBurst: true}, {ms: 6000, isBurst: false}, {ms: burstMs, isBurst: true},
];

const breaches = [];
const limitedIds = new Set();

/** Counts the tasks of the step on the minion at each start. */
function checkStart(minion, {task}) {
	const [job, occurrence, step] = task.split('.');
	if (!limitedIds.has(job)) {
		return;
	}

	const beside = minion.getRunning().filter(run => run.task.startsWith(`${job}.${occurrence}.${step}.`));
	if (beside.length > limitedStep.max_per_server) {
		breaches.push(`ROUTE: ${beside.length} tasks of step ${step} of job ${job} run on ${minion.id}, max_per_server is ${limitedStep.max_per_server}: ${beside.map(run => run.task).join(', ')}`);
	}
}

await runCase(import.meta.url, new Deployment({zones: ['a']}), async deployment => {
	await deployment.open({
		routes: [{
			name: 'large', prefix: '/large/', service: 's', priority: 0,
		}, {
			name: 'jobs', prefix: '/jobs/', service: 's', priority: 1,
		}], isGuarded: true,
	});
	for (const position of [1, 2, 3, 4, 5]) {
		await deployment.addMinion({
			id: `minion-${position}`, zone: 'a', service: 's', onStart: checkStart,
		});
	}

	for (const name of ['vm-1', 'vm-2']) {
		await deployment.addVm({zone: 'a', name});
	}

	await deployment.waitUntilReady();
	await delay(3000);
	const answers = [];
	const {vms} = deployment;
	for (const {ms, isBurst} of phases) {
		const intervalMs = largeIntervalMs / (isBurst && isTroubled ? burstFactor : 1);
		record(isBurst && isTroubled ? 'burst of large jobs begins' : 'usual traffic begins');
		const endAt = performance.now() + ms;
		while (performance.now() < endAt) {
			answers.push(deployment.submit(vms[0], createId(), [largeStep], {prefix: '/large/', spec: {ms: largeMs}}));
			await delay(limitedDelayMs);
			const id = createId();
			limitedIds.add(id);
			answers.push(deployment.submit(vms[1], id, [limitedStep], {note: `, max_per_server ${limitedStep.max_per_server}`}));
			await delay(intervalMs - limitedDelayMs);
		}
	}

	const received = await Promise.all(answers);
	const completed = received.filter(({status, body}) => status === 200 && body === '{"state":"completed"}');
	record(`${completed.length} of ${answers.length} jobs were completed`);
	if (completed.length < 0.6 * answers.length) {
		throw new Error('too few of the jobs were completed');
	}

	return breaches;
});

/* eslint-disable camelcase -- The field names of the platform's messages are given. */
/**
 * The capacity of a minion that does not guard it shrinks while the store turns away the machine that sends the orders.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	createId, Deployment, isTroubled, record, runCase,
} from '../lib-2/deployment.mjs';

/** Bounds of the deployment, and the interval at which minions write their entries. */
const contactMs = 3000;
const heartbeatMs = 1500;

/** Time for which the store turns the machine away, as in the site file. */
const refusedMs = 9000;

/** Time from then until the capacity shrinks, in milliseconds. */
const shrinkDelayMs = 500;

/** Time between two rounds, in milliseconds. */
const pauseMs = 6000;
const rounds = 3;

const fullCapacity = {cpu: 16_000, mem_mb: 32_768, gpu: 0};
const shrunkCapacity = {cpu: 8000, mem_mb: 32_768, gpu: 0};

/** The largest kind of the site; three minions hold six of its tasks, and the interval keeps four or five of them at work. */
const step = {
	count: 2, cpu: 6800, mem_mb: 64, estimate_ms: 900,
};
const taskMs = 900;
const intervalMs = 400;

const breaches = [];
let lastSender;
/** Time from which the shrunk capacity counts. */
let countsAt = Infinity;

/** Checks what is at work on the minion at each start. */
function checkStart(minion, {task, run, sender}) {
	lastSender = sender;
	const used = minion.getRunning().reduce((sum, {needs}) => sum + needs.cpu, 0);
	const allowed = performance.now() >= countsAt ? minion.capacity.cpu : Math.max(minion.capacity.cpu, fullCapacity.cpu);
	if (used > allowed) {
		breaches.push(`LIMIT: ${sender} started ${task} run ${run} on ${minion.id}, where tasks of ${used / 1000} cores are at work then; it has ${minion.capacity.cpu / 1000}`);
	}
}

await runCase(import.meta.url, new Deployment({zones: ['a']}), async deployment => {
	await deployment.open({routes: [{name: 'jobs', prefix: '/jobs/', service: 's'}], isGuarded: false});
	for (const position of [1, 2, 3]) {
		await deployment.addMinion({
			id: `minion-${position}`, zone: 'a', service: 's', isGuarded: false, capacity: fullCapacity, heartbeatMs, onStart: checkStart,
		});
	}

	for (const name of ['vm-1', 'vm-2', 'vm-3']) {
		await deployment.addVm({zone: 'a', name});
	}

	await deployment.waitUntilReady();
	await delay(4000);
	const [minion] = deployment.minions;
	const answers = [];
	const phase = {isOver: false};
	const sendJobs = async () => {
		for (let count = 0; !phase.isOver; count++) {
			answers.push(deployment.submit(deployment.vms[count % 3], createId(), [step], {spec: {ms: taskMs}}));
			await delay(intervalMs);
		}
	};

	const sending = sendJobs();
	await delay(2000);
	for (let round = 0; round < rounds; round++) {
		const refused = lastSender;
		if (isTroubled) {
			record(`the store answers 503 to ${refused}`);
			deployment.store.isRefused = port => deployment.getSender(port, deployment.store.address) === refused;
		}

		await delay(shrinkDelayMs);
		minion.setCapacity(shrunkCapacity);
		countsAt = performance.now() + contactMs + heartbeatMs;
		await delay(refusedMs - shrinkDelayMs);
		deployment.store.isRefused = () => false;
		record('the store serves all machines');
		await delay(pauseMs / 2);
		minion.setCapacity(fullCapacity);
		countsAt = Infinity;
		await delay(pauseMs / 2);
	}

	phase.isOver = true;
	await sending;
	const received = await Promise.all(answers);
	const completed = received.filter(({status}) => status === 200);
	record(`${completed.length} of ${received.length} jobs were completed`);
	return breaches;
});

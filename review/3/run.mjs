/**
 * Submits jobs that can never be done, because they have far more and larger tasks than the minions can run, and looks for processes that end by
 * themselves.
 */
/* eslint-disable camelcase -- The field names of the platform's messages are given. */
import {setTimeout as delay} from 'node:timers/promises';
import {createId, hasTrouble, runCase} from '../lib/deployment.mjs';

const taskMs = 200;
const clientsPerVm = 4;
const pauseMs = 50;
const resendMs = 1300;
const deadlineMs = 1500;
/** Hopeless jobs: one for about two hundred that can be done. */
const hopelessJobCount = 8;
const betweenHopelessJobsMs = 3000;
const maxSends = 3;
/** Steps and tasks of a step of a hopeless job; each task needs more than any minion has. */
const stepCount = hasTrouble ? 50 : 1;
const tasksPerStep = hasTrouble ? 10_000 : 10;
const taskCpu = 200_000;
const recoveryMs = 5000;
/** The rule: on a tenth of the machines, two at least, processes end by themselves three times. */
const minMachines = 2;
const minEnds = 3;

async function runClient(deployment, position, isOver) {
	let client = deployment.createClient(deployment.vms[position % deployment.vms.length]);
	for (let count = 0; !isOver(); count++) {
		const {end} = await client.send('POST', createId(`0${position.toString(16).padStart(2, '0')}`, count), {
			deadlineMs, body: deployment.createJob([{
				count: 2, cpu: 1000, mem_mb: 64, estimate_ms: taskMs,
			}]),
		});
		if (end !== 'answered') {
			client = deployment.createClient(deployment.vms[(position + count) % deployment.vms.length]);
		}

		await delay(pauseMs);
	}
}

/** Submits a job as a client does: after a broken connection, a 502 or no answer, again at another VM. */
async function submitHopelessJob(deployment, number) {
	const steps = Array.from({length: stepCount}, () => ({
		count: tasksPerStep, cpu: taskCpu, mem_mb: 64, estimate_ms: 100,
	}));
	for (let sends = 0; sends < maxSends; sends++) {
		const client = deployment.createClient(deployment.vms[(number + (sends * 2)) % deployment.vms.length]);
		const {end, status} = await client.send('POST', createId('1ff', number), {deadlineMs, body: deployment.createJob(steps)});
		if (end === 'answered' && status !== 502 && status !== 504) {
			return;
		}

		await delay(resendMs);
	}
}

/** Groups the ends of processes by their VM. */
function groupByVm(endings) {
	const groups = new Map();
	for (const ending of endings) {
		groups.set(ending.vm, [...(groups.get(ending.vm) ?? []), ending]);
	}

	return groups;
}

async function play(deployment) {
	let isOver = false;
	const clients = Array.from({length: clientsPerVm * deployment.vms.length}, async (_, position) => runClient(deployment, position, () => isOver));
	await delay(3000);
	const hopelessJobs = [];
	for (let number = 0; number < hopelessJobCount; number++) {
		hopelessJobs.push(submitHopelessJob(deployment, number));
		await delay(betweenHopelessJobsMs);
	}

	await Promise.all(hopelessJobs);
	await delay(recoveryMs);
	isOver = true;
	await Promise.all(clients);
	const endings = deployment.events.filter(({event, byItself}) => event === 'process ended' && byItself);
	const endsByVm = groupByVm(endings);
	const affected = [...endsByVm].filter(([, ends]) => ends.length >= minEnds);
	const cut = deployment.events.filter(({event, id, end}) => event === 'request ended' && id.startsWith('0') && end === 'cut');
	console.log(`${endings.length} processes ended by themselves; ${cut.length} requests of other clients were cut off`);
	return affected.length < minMachines
		? []
		: affected.map(([vm, ends]) => `Fault: ${ends.length} processes of ${vm} ended by themselves, at ${ends.map(({at, code, signal}) => `${at} (${signal ?? code})`).join(', ')}`);
}

await runCase(new URL('./', import.meta.url), {getWork: () => ({cpu: 1000, workMs: taskMs})}, play);

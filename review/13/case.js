/**
 * A machine that holds clients' requests freezes; the clients cancel their jobs through another machine, which acknowledges it; the machine thaws.
 */
/* eslint camelcase: "off" -- The platform names the fields of its messages. */
import {setTimeout as delay} from 'node:timers/promises';
import {describeLateStarts, play} from '../lib-3/deployment.js';

/** Length of the freeze, and `cancel_ms`. */
const freezeMs = 4000;
const cancelMs = 3000;

/** Jobs that wait at the machine, and when their cancellings are sent, counted from the freeze. */
const jobCount = 6;
const firstCancelMs = 700;
const cancelIntervalMs = 48;
const step = {
	count: 2, cpu: 2000, mem_mb: 64, estimate_ms: 6000,
};

const recordFile = new URL('record.txt', import.meta.url);

await play({recordFile}, async (deployment, hasTrouble) => {
	const [holder, helper] = await deployment.findIdleVms();
	deployment.record('machines', {holder: holder.name, helper: helper.name});
	const jobs = Array.from({length: jobCount}, () => deployment.submit(holder, {steps: [step], durationMs: 6000}));
	await delay(1000);
	const frozenAt = performance.now();
	if (hasTrouble) {
		holder.signal('SIGSTOP');
	}

	const cancelAll = jobs.map(async ({id}, position) => {
		await delay(firstCancelMs + (position * cancelIntervalMs));
		return cancel(deployment, helper, id);
	});
	const acknowledgements = await Promise.all(cancelAll);
	await delay(freezeMs - (performance.now() - frozenAt));
	if (hasTrouble) {
		holder.signal('SIGCONT');
	}

	await Promise.race([Promise.all(jobs.map(async ({answer}) => answer)), delay(5000)]);
	await delay(2000);
	const breaches = jobs.flatMap(({id}, position) => describeLateStarts(deployment.getRuns(id), {acknowledgedAt: acknowledgements[position], cancelMs, isDisturbed: name => name === holder.name}) ?? []);
	return breaches.length === 0 ? undefined : breaches.join('; ');
});

/** Cancels a job until that is acknowledged; gets when it was. */
async function cancel(deployment, vm, id) {
	for (;;) {
		const {status} = await deployment.cancel(vm, id);
		if (status === 200 || status === 410) {
			return performance.now();
		}

		await delay(50);
	}
}

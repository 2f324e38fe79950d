/**
 * The machine that owns a pool is stopped and started as planned; jobs that clients send to it before and after are to start with their own spec.
 */
/* eslint camelcase: "off" -- The platform names the fields of its messages. */
import {setTimeout as delay} from 'node:timers/promises';
import {contactMs, play} from '../lib-3/deployment.js';

/** Text with a byte order mark, as some editors put it at the beginning of a file. */
const byteOrderMark = '\uFEFF';
const spec = `${byteOrderMark}seat;row;block;table\n${'12;C;north;4\n'.repeat(10)}`;
const jobCount = 5;
const job = {
	spec, steps: [{
		count: 2, cpu: 2000, mem_mb: 64, estimate_ms: 100,
	}], durationMs: 100,
};

const recordFile = new URL('record.txt', import.meta.url);

await play({recordFile, zones: ['east']}, async (deployment, hasTrouble) => {
	const first = deployment.submit(deployment.vms[0], job);
	await first.answer;
	const [{sender}] = deployment.getRuns(first.id);
	const owner = deployment.vms.find(({name}) => name === sender);
	deployment.record('machine that gives the orders', {vm: owner.name});
	if (hasTrouble) {
		await owner.restart();
		await deployment.waitUntilServing(owner);
		await delay(contactMs);
	}

	const ids = [];
	for (let count = 0; count < jobCount; count++) {
		const {id, answer} = deployment.submit(owner, job);
		ids.push(id);
		await answer;
	}

	const changed = ids.flatMap(id => deployment.getRuns(id)).filter(run => run.spec !== spec);
	if (changed.length === 0) {
		return undefined;
	}

	const [run] = changed;
	const describe = text => `${text.length} characters that begin with ${JSON.stringify(text.slice(0, 5)).replace(byteOrderMark, String.raw`\uFEFF`)}`;
	deployment.record('spec changed', {sent: describe(spec), started: describe(run.spec)});
	return `UNASKED: ${changed.length} tasks are started with another spec; ${run.task} by ${run.sender} with ${describe(run.spec)}, the client sent ${describe(spec)}`;
});

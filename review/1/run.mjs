/**
 * Freezes one entry VM after another for 0.8 s, one of each zone, while jobs of its clients run, and looks for processes that end by themselves from
 * then on.
 */
/* eslint-disable camelcase -- The field names of the platform's messages are given. */
import {setTimeout as delay} from 'node:timers/promises';
import {createId, hasTrouble, runCase} from '../lib/deployment.mjs';

const deadlineMs = 1500;
const resendMs = 1300;
const pauseMs = 50;
const ordinaryClients = 14;
const ordinaryWorkMs = 200;
const jobsOfBurst = 60;
const longWorkMs = 1200;
/** Less than the 3.5 s of the site, so that the clients still wait when the VM is back. */
const freezeMs = 800;
const beforeFreezeMs = 200;
const afterBurstMs = 700;
const calmMs = 3000;
/** Time of the whole case from its start. */
const lengthMs = 98_000;
/** Ends during a disruption on a machine or within a second of it are not counted. */
const excusedMs = 1000;
/** The rule: on a tenth of the machines, two at least, processes end by themselves three times. */
const minMachines = 2;
const minEnds = 3;

/** Submits jobs one after another; after a 502, a broken connection or no answer, the same job once more, at another VM. */
async function runClient(deployment, {name, vm: firstVm, workMs, isOver, requests}) {
	let vm = firstVm;
	let client = deployment.createClient(vm);
	for (let count = 0; !isOver(); count++) {
		const id = createId(name, count);
		for (let sends = 0; sends < 2 && !isOver(); sends++) {
			const result = await client.send('POST', id, {
				deadlineMs,
				body: deployment.createJob([{
					count: 1, cpu: 500, mem_mb: 64, estimate_ms: workMs,
				}], String(workMs)),
			});
			requests.push(result);
			if (result.end === 'answered' && result.status !== 502 && result.status !== 504) {
				break;
			}

			await delay(resendMs);
			vm = deployment.vms[(deployment.vms.indexOf(vm) + 1) % deployment.vms.length];
			client = deployment.createClient(vm);
		}

		await delay(pauseMs);
	}
}

/** Gets the VM that owns a pool by the claim that the system wrote to the store. */
function getOwner(deployment, pool) {
	const claim = deployment.store.get(`pools/${pool}`);
	return deployment.vms.find(vm => claim?.startsWith(`${vm.name}-`));
}

/** Sends a burst of jobs to a VM that does not own the pool of its zone, and freezes it while they run. */
async function freezeInBurst(deployment, zone, requests) {
	const owner = getOwner(deployment, zone);
	const vm = deployment.vms.find(other => other.zone === zone && other !== owner);
	deployment.record({event: 'burst', vm: vm.name, owner: owner?.name});
	let isOver = false;
	const clients = Array.from({length: jobsOfBurst}, async (_, position) => runClient(deployment, {
		name: `6${zone}${position.toString(16).padStart(3, '0')}`, vm, workMs: longWorkMs, isOver: () => isOver, requests,
	}));
	await delay(beforeFreezeMs);
	isOver = true;
	if (hasTrouble) {
		vm.signal('SIGSTOP');
	}

	await delay(freezeMs);
	if (hasTrouble) {
		vm.signal('SIGCONT');
	}

	return clients;
}

/** Gets the times at which processes of a VM ended by themselves while no disruption was near on it. */
function getEnds({events}, {name}) {
	const freezes = events.filter(({event, vm, signal}) => event === 'signal' && vm === name && signal === 'SIGSTOP');
	return events.filter(({event, vm, at, byItself}) => event === 'process ended' && vm === name && byItself
		&& freezes.every(freeze => at < freeze.at || at > freeze.at + freezeMs + excusedMs));
}

/** Gets the share of the requests that were sent in a span of time and answered with success. */
function getServedShare(requests, from, until) {
	const sent = requests.filter(({sentAt}) => sentAt >= from && sentAt < until);
	return sent.filter(({status, answer}) => status === 200 && answer.includes('completed')).length / sent.length;
}

async function play(deployment) {
	const requests = [];
	let isOver = false;
	const startedAt = deployment.getTime();
	const clients = Array.from({length: ordinaryClients}, async (_, position) => runClient(deployment, {
		name: `0${position.toString(16).padStart(3, '0')}`, vm: deployment.vms[position % deployment.vms.length], workMs: ordinaryWorkMs, isOver: () => isOver, requests,
	}));
	await delay(calmMs);
	const calmUntil = deployment.getTime();
	for (const zone of ['a', 'b', 'c']) {
		// One machine is frozen at a time.
		clients.push(...await freezeInBurst(deployment, zone, requests));
		await delay(afterBurstMs);
	}

	const frozenUntil = deployment.getTime();
	await delay(Math.max(0, lengthMs - frozenUntil));
	isOver = true;
	await Promise.all(clients);
	const shares = [getServedShare(requests, startedAt, calmUntil), getServedShare(requests, frozenUntil, deployment.getTime())].map(share => share.toFixed(3));
	console.log(`served: ${shares[0]} of the requests before the first freeze, ${shares[1]} after the last one`);
	const ends = deployment.vms.map(vm => ({vm, ends: getEnds(deployment, vm)}));
	console.log(`ends by themselves: ${ends.map(({vm, ends: ofVm}) => `${vm.name} ${ofVm.length}`).join(', ')}`);
	const affected = ends.filter(({ends: ofVm}) => ofVm.length >= minEnds);
	return affected.length < minMachines
		? []
		: affected.map(({vm, ends: ofVm}) => `Fault: ${ofVm.length} processes of ${vm.name} ended by themselves, at ${ofVm.map(({at, code, signal}) => `${at} (${signal ?? code})`).join(', ')}`);
}

await runCase(new URL('./', import.meta.url), {getWork: (_, spec) => ({cpu: 500, workMs: Number(spec)})}, play);

import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {anyText} from '../connection/codec-texts.js';

// The bundle has no native decoder; read by the library when it is loaded.
process.env.CBOR_NATIVE_ACCELERATION_DISABLED = 'true';
const {decodeValue, encodeValue} = await import('../../src/connection/frame-codec.js');

const step = {
	taskCount: 2, needs: {cpu: 100, memoryMb: 64, accelerators: 0}, estimateMs: 60, after: [], requiredLabel: 'a', dataRack: 'r1',
};
const rules = {
	route: 'r', service: 's', priority: 0, maxAttempts: 3, stretch: 1.6, slackMs: 60,
};
const failedRuns = [{
	task: 'j.0.0.0', number: 1, upstream: 'u1', bornMs: 1, cause: 'crash', ageMs: 20,
}];
const upstream = {
	id: 'u1', bornMs: 1, address: '10.0.0.1:1', dataCenter: 'a', service: 's', rack: 'r1', labels: ['a', 'r1'], capacity: step.needs, isLeaving: false,
};
const load = {
	cores: 96, freeCpu: 14_000, rooms: [14_000], queuedWork: 12.5,
};

/** Messages between VMs by what they are, with all fields that are texts. */
const messages: Readonly<Record<string, unknown>> = {
	'submitted job': {
		pool: 'a', job: {
			id: 'j', spec: 'x', steps: [step], rules, ageMs: 1, remainingMs: 1500, priorFence: 0, failedRuns,
		},
	},
	'answer to a job': {outcome: {kind: 'interrupted', reason: 'x'}, load},
	'lent task': {
		pool: 'a', borrower: 'b', fence: 1, load, sequence: 1, task: {
			task: 'j.0.0.0', number: 1, spec: 'x', service: 's', step, expectedMs: 60, failedRuns,
		},
	},
	'answer to a lent task': {outcome: {kind: 'ended', end: 'done'}, failedRuns},
	'stop of a lent run': {pool: 'a', run: {task: 'j.0.0.0', number: 1}, isOverdue: false},
	recall: {
		pool: 'a', borrower: 'b', fence: 1, job: 'j',
	},
	'failed runs': {failedRuns},
	upstreams: {
		pool: 'a', revision: 5, upstreams: [upstream], overwritten: [upstream], former: [upstream],
	},
	'awaited jobs': {pool: 'a', jobs: ['j', 'k']},
};

/** Gets the value with each text replaced in turn. */
function replaceTexts(value: unknown, replacement: string): readonly unknown[] {
	if (typeof value === 'string') {
		return [replacement];
	}

	if (Array.isArray(value)) {
		return value.flatMap((item: unknown, position) => replaceTexts(item, replacement).map(replaced => value.with(position, replaced) as unknown));
	}

	return typeof value === 'object' && value !== null
		? Object.entries(value).flatMap(([name, field]) => replaceTexts(field, replacement).map(replaced => ({...value, [name]: replaced})))
		: [];
}

// Guards against a text that another VM reads changed, whichever field it is in.
for (const [name, message] of Object.entries(messages)) {
	test(`any text passes between VMs unchanged: ${name}`, t => {
		fc.assert(fc.property(anyText, text => {
			for (const replaced of replaceTexts(message, text)) {
				t.deepEqual(decodeValue(encodeValue(replaced)), {ok: true, value: replaced});
			}
		}), {seed: 68, numRuns: 50});
	});
}

import test from 'ava';
import fc from 'fast-check';
import {type KeyValue} from '../../src/platform/index.js';
import {VmListState} from '../../src/process/vm-list-state.js';
import {createUpstream} from './follower-fixture.js';

type Write = {readonly name: string; readonly isPut: boolean};

const prefix = '/vms/';

/** Gets the keys at a revision; the first write has revision 1. */
function getKeys(writes: readonly Write[], revision: number): readonly KeyValue[] {
	const keys = new Map<string, KeyValue>();
	for (const [index, {name, isPut}] of writes.slice(0, revision).entries()) {
		if (isPut) {
			const key = `${prefix}shanti/${name}`;
			keys.set(name, {key, value: JSON.stringify(createUpstream(name)), modRevision: index + 1});
		} else {
			keys.delete(name);
		}
	}

	return [...keys.values()];
}

function getNames(keys: readonly KeyValue[]): readonly string[] {
	return keys.map(({key}) => key.slice(`${prefix}shanti/`.length)).sort();
}

const write = fc.record({name: fc.constantFrom('a', 'b', 'c', 'd'), isPut: fc.boolean()});
const step = fc.record({kind: fc.constantFrom('event', 'repeat', 'range', 'offer'), at: fc.nat(20)});

test('the list matches its revision, which never decreases, for any order of reads, events and offers', t => {
	fc.assert(fc.property(fc.array(write, {minLength: 1, maxLength: 20}), fc.array(step, {maxLength: 40}), (writes, steps) => {
		const state = new VmListState(prefix);
		let nextWrite = 0;
		let revision = 0;
		const deliver = (index: number): void => {
			const {name, isPut} = writes[index]!;
			const key = `${prefix}shanti/${name}`;
			const modRevision = index + 1;
			if (isPut) {
				state.putKey({key, value: JSON.stringify(createUpstream(name)), modRevision});
			} else {
				state.removeKey(key, modRevision);
			}
		};

		for (const {kind, at} of steps) {
			const wantedRevision = Math.min(at, writes.length);
			if (kind === 'event' && nextWrite < writes.length) {
				deliver(nextWrite++);
			} else if (kind === 'repeat' && nextWrite > 0) {
				deliver(at % nextWrite);
			} else if (kind === 'range' && wantedRevision > 0) {
				state.setRange(wantedRevision, getKeys(writes, wantedRevision));
			} else if (kind === 'offer' && wantedRevision > 0) {
				const upstreams = getNames(getKeys(writes, wantedRevision)).map(name => createUpstream(name));
				state.setList({revision: wantedRevision, entryVms: [], upstreams});
			}

			t.true(state.getRevision() >= revision);
			revision = state.getRevision();
			if (revision > 0) {
				t.deepEqual(state.getVmList().upstreams.map(({name}) => name), getNames(getKeys(writes, revision)));
			}
		}
	}), {seed: 3, numRuns: 500});
});

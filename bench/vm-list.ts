/**
 * Measures processor time per change of the VM list and memory of the list, by number of upstreams.
 */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {type KeyValue} from '../src/platform/index.js';
import {VmListState} from '../src/process/vm-list-state.js';
import {writeResults} from './support/results.js';

const listSizes = [30, 220, 880];
const changes = 2000;
const prefix = '/endivemill/bench/vms/';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Runs the measurement. */
export async function run(): Promise<void> {
	// The first list includes the cost of compiling code, so its measurement is discarded.
	measureList(listSizes.at(-1)!);
	const lists = listSizes.map(size => measureList(size));
	for (const list of lists) {
		process.stdout.write(`${JSON.stringify(list)}\n`);
	}

	await writeResults('vm-list', {lists});
}

function measureList(size: number): Record<string, unknown> {
	const heapBefore = getHeapBytes();
	const state = new VmListState(prefix);
	state.setRange(1, Array.from({length: size}, (_, index) => createEntry(index, 1)));
	const listBytes = getHeapBytes() - heapBefore;
	const cpuBefore = process.cpuUsage();
	for (let change = 0; change < changes; change++) {
		state.putKey(createEntry(change % size, change + 2));
		state.getVmList();
	}

	const {user, system} = process.cpuUsage(cpuBefore);
	return {upstreams: size, cpuUsPerChange: Math.round((user + system) / changes), listBytes};
}

function createEntry(index: number, modRevision: number): KeyValue {
	const vm = {
		kind: 'upstream', name: `upstream-${index}`, dataCenter: 'kolkata', state: 'live', service: 'seats', address: '127.0.0.1:1',
		slots: 8, connections: 64, cores: 16, memoryMb: 32_000, accelerators: 0, rack: `rack-${index % 8}`,
	};
	return {key: `${prefix}kolkata/${vm.name}`, value: JSON.stringify(vm), modRevision};
}

function getHeapBytes(): number {
	// Objects released by the first collection may make others collectable in the second.
	collectGarbage();
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

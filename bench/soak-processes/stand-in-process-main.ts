/**
 * Entry point of the process that runs the stand-ins of the store and the upstreams in a process soak. It reads commands as
 * JSON lines from standard input, answers each with a line, and exits when its input ends.
 */
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as delay} from 'node:timers/promises';
import {
	createPlatformStore, createPlatformUpstream, type PlatformUpstream, type StoreFaults,
} from '../../src/testing/index.js';
import {DeadlyJobs} from './deadly-jobs.js';
import {
	type AppliedFault, type ChangedSpec, getSharedTime, type ListedCapacity, stallKind, type UpstreamHistory,
} from './history.js';
import {getJobSpec} from './jobs.js';
import {createOddEntries} from './odd-entries.js';
import {
	host, prefix, type UpstreamFaults, type StandInCommand,
} from './stand-in-process.js';

/** Time after which the entry of a crashed upstream is removed, in milliseconds: three heartbeat intervals. */
const entryRemovalMs = 4500;

/** Time from the store's recovery until upstreams register again whose entries expired, in milliseconds. */
const relistDelayMs = 1500;

const dataCenters = process.argv[2]!.split(',');
const upstreamsPerDataCenter = Number(process.argv[3]);
const areUpstreamsGuarded = process.argv[4] === 'true';
const store = await createPlatformStore();
const upstreams: PlatformUpstream[] = [];
const crashed = new Set<PlatformUpstream>();
let removedFromStore: readonly PlatformUpstream[] = [];
const deadlyJobs = new DeadlyJobs();
const capacities: ListedCapacity[] = [];
const changedSpecs: ChangedSpec[] = [];

/** Times from a crash by a task until the upstream starts again, and from a change of a capacity until the entry shows it, in milliseconds. */
const minDownMs = 1000;
const downRangeMs = 3000;
const entryIntervalMs = 1500;

/** Thousandths of a core of an upstream, and minimum and range of the share that it keeps while it is shrunk. */
const upstreamCpu = 16_000;
const minKeptShare = 0.25;
const keptShareRange = 0.5;

/** Time between two checks for a stall, in milliseconds. */
const stallCheckMs = 50;

/** Time between two checks from which on they count as a stall, in milliseconds: requests get no answer in this time. */
const minStallMs = 300;

/** Identifiers of odd entries under new keys: some cannot be sent in a header. */
const oddIds = ['i-other-', 'i other ', 'i-\u{1F600}-', 'i-\r\nx: '];
const newKeys: string[] = [];
let oddEntryCount = 0;

const stalls: AppliedFault[] = [];
let checkedAt = getSharedTime();

function checkForStall(): void {
	const now = getSharedTime();
	if (now - checkedAt > minStallMs) {
		stalls.push({
			kind: stallKind, target: 'store and upstreams', at: checkedAt, until: now,
		});
	}

	checkedAt = now;
}

function getId(upstream: PlatformUpstream): string {
	const position = upstreams.indexOf(upstream);
	return `i-${dataCenters[Math.floor(position / upstreamsPerDataCenter)]!}-${position % upstreamsPerDataCenter}`;
}

function getKey(upstream: PlatformUpstream): string {
	return `servers/${getId(upstream)}`;
}

function setConfiguration(version: number): void {
	store.setText('op/config', JSON.stringify({
		version,
		routes: [prefix, `/added-${version}/`].map((path, position) => ({
			name: `r${position}`, host, prefix: path, service: 's', timeout_ms: 1500, target_runtime_ms: 60, priority: 0, max_attempts: 3, stretch: 1.6,
		})),
		services: [{
			name: 's', health_path: '/health', max_conns: 64, admission_control: areUpstreamsGuarded,
		}],
		limits: {},
	}));
}

function setStoreFaults(faults: Partial<StoreFaults>, isLapsing: boolean): void {
	Object.assign(store.faults, faults);
	if (isLapsing) {
		removedFromStore = [...removedFromStore, ...upstreams.filter((_, position) => position % 2 === 0)];
		for (const upstream of removedFromStore) {
			store.setText(getKey(upstream), undefined);
		}
	}
}

async function relist(): Promise<void> {
	const affected = removedFromStore;
	removedFromStore = [];
	await delay(relistDelayMs);
	for (const upstream of affected.filter(upstream => !crashed.has(upstream))) {
		register(upstream);
	}
}

async function crash(upstream: PlatformUpstream): Promise<void> {
	if (crashed.has(upstream)) {
		return;
	}

	crashed.add(upstream);
	await upstream.crash();
	await delay(entryRemovalMs);
	if (crashed.has(upstream)) {
		store.setText(getKey(upstream), undefined);
	}
}

async function restart(upstream: PlatformUpstream): Promise<void> {
	if (crashed.delete(upstream)) {
		await upstream.restart();
		recordCapacity(upstream);
	}
}

/** Crashes an upstream whose task has done so, and starts it again later. */
async function crashForAWhile(upstream: PlatformUpstream): Promise<void> {
	void crash(upstream);
	await delay(minDownMs + (Math.random() * downRangeMs));
	await restart(upstream);
}

/** Changes the capacity of an upstream, which shows it within an interval. */
async function setCapacity(upstream: PlatformUpstream, isShrunk: boolean): Promise<void> {
	const cpu = isShrunk ? Math.round(upstreamCpu * (minKeptShare + (Math.random() * keptShareRange))) : upstreamCpu;
	upstream.setCapacity({cpu, memoryMb: 32_768, accelerators: 0});
	await delay(Math.random() * entryIntervalMs);
	if (!crashed.has(upstream) && !removedFromStore.includes(upstream)) {
		register(upstream);
	}
}

/** Lets an upstream write its entry. */
function register(upstream: PlatformUpstream): void {
	upstream.register('ready');
	recordCapacity(upstream);
}

function recordCapacity(upstream: PlatformUpstream): void {
	capacities.push({upstream: getId(upstream), at: getSharedTime(), cpu: upstream.getCapacity().cpu});
}

async function startAgain(upstream: PlatformUpstream, formerLifeMs: number, isFormerReachable: boolean): Promise<void> {
	if (!crashed.has(upstream)) {
		const ending = upstream.startAgain(formerLifeMs, isFormerReachable);
		recordCapacity(upstream);
		await ending;
	}
}

/** Gets one of the upstreams that are up, another one each time. */
function getOtherUpstream(): PlatformUpstream {
	const alive = upstreams.filter(upstream => !crashed.has(upstream));
	return alive[oddEntryCount % alive.length]!;
}

/** Writes odd entries over those of upstreams, and one under a new key for each. */
function overwriteEntries(chosen: readonly PlatformUpstream[]): void {
	for (const upstream of chosen.filter(upstream => !crashed.has(upstream))) {
		const values = createOddEntries(upstream.getEntry('ready'), getOtherUpstream().getEntry('ready'));
		store.setBytes(getKey(upstream), values[oddEntryCount % values.length]!);
		const newKey = `servers/${oddIds[oddEntryCount % oddIds.length]!}${oddEntryCount}`;
		store.setBytes(newKey, values[(oddEntryCount + 1) % values.length]!);
		newKeys.push(newKey);
		oddEntryCount++;
	}
}

/** Lets upstreams write their entries again and removes those under new keys. */
function restoreEntries(chosen: readonly PlatformUpstream[]): void {
	for (const upstream of chosen) {
		if (!crashed.has(upstream) && !removedFromStore.includes(upstream)) {
			register(upstream);
		}
	}

	for (const key of newKeys.splice(0)) {
		store.setText(key, undefined);
	}
}

function setUpstreamFaults(chosen: readonly PlatformUpstream[], {lateMs, lateShare = 1, maxAnswerDelayMs, hasOddAnswers, ...faults}: UpstreamFaults): void {
	for (const upstream of chosen) {
		Object.assign(upstream.faults, faults);
		upstream.hasOddAnswers = hasOddAnswers ?? upstream.hasOddAnswers;
		if (maxAnswerDelayMs !== undefined) {
			upstream.faults.getAnswerDelayMs = () => Math.random() * maxAnswerDelayMs;
		}

		if (lateMs !== undefined) {
			upstream.faults.getLateMs = () => Math.random() < lateShare ? lateMs : 0;
		}
	}
}

function getHistory(): UpstreamHistory {
	const offset = getSharedTime() - performance.now();
	const runs = upstreams.flatMap(upstream => upstream.getStarts()).map(({task, number, upstream, startedAt, endedAt, end, used, isEndedByCrash, crashedBy}) => ({
		task, number, upstream, startedAt: startedAt + offset, endedAt: endedAt === undefined ? undefined : endedAt + offset, end, usedCpu: used.cpu, isEndedByCrash, crashedBy,
	}));
	return {
		runs, deadlyTasks: deadlyJobs.getTasks(), capacities, changedSpecs,
	};
}

function execute(command: StandInCommand): unknown {
	const chosen = 'positions' in command ? command.positions.map(position => upstreams[position % upstreams.length]!) : [];
	switch (command.kind) {
		case 'store': {
			setStoreFaults(command.faults, command.isLapsing);
			return {};
		}

		case 'relist': {
			void relist();
			return {};
		}

		case 'forget': {
			store.compact();
			return {};
		}

		case 'upstreams': {
			setUpstreamFaults(chosen, command.faults);
			return {};
		}

		case 'crash': {
			void Promise.all(chosen.map(async upstream => crash(upstream)));
			return {};
		}

		case 'restart': {
			void Promise.all(chosen.map(async upstream => restart(upstream)));
			return {};
		}

		case 'start-again': {
			void Promise.all(chosen.map(async upstream => startAgain(upstream, command.formerLifeMs, command.isFormerReachable)));
			return {};
		}

		case 'overwrite-entries': {
			overwriteEntries(chosen);
			return {};
		}

		case 'restore-entries': {
			restoreEntries(chosen);
			return {};
		}

		case 'configuration': {
			setConfiguration(command.version);
			return {};
		}

		case 'stalls': {
			checkForStall();
			return stalls;
		}

		case 'capacity': {
			void Promise.all(chosen.map(async upstream => setCapacity(upstream, command.isShrunk)));
			return {};
		}

		case 'deadly-jobs': {
			deadlyJobs.setMode(command.mode);
			return {};
		}

		case 'history': {
			return getHistory();
		}
	}
}

for (const dataCenter of dataCenters) {
	for (let position = 0; position < upstreamsPerDataCenter; position++) {
		const upstream: PlatformUpstream = await createPlatformUpstream({
			id: `i-${dataCenter}-${position}`, dataCenter, service: 's', store, isGuarded: areUpstreamsGuarded, getWork: task => deadlyJobs.getWork(task),
			onTaskCrashed() {
				void crashForAWhile(upstream);
			},
			onStartOrder(task, spec) {
				if (spec !== getJobSpec(task.split('.')[0]!)) {
					changedSpecs.push({task, at: getSharedTime(), spec});
				}
			},
		});
		upstreams.push(upstream);
		recordCapacity(upstream);
	}
}

setConfiguration(1);
setInterval(checkForStall, stallCheckMs);
process.stdout.write(`${JSON.stringify(store.getAddress())}\n`);
for await (const line of createInterface({input: process.stdin})) {
	process.stdout.write(`${JSON.stringify(execute(JSON.parse(line) as StandInCommand))}\n`);
}

process.exit(0); // eslint-disable-line unicorn/no-process-exit

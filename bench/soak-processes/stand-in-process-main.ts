/**
 * The process of the store and the upstreams in a soak of processes: takes commands as JSON lines on standard input and answers each with a line. It ends
 * when its input ends.
 */
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as delay} from 'node:timers/promises';
import {
	createPlatformStore, createPlatformUpstream, type PlatformUpstream, type StoreFaults,
} from '../../src/testing/index.js';
import {type AppliedFault, getSharedTime, stallKind} from './history.js';
import {getWork} from './jobs.js';
import {
	host, prefix, type UpstreamFaults, type StandInCommand,
} from './stand-in-process.js';

/** Time after which the entry of a dead upstream is removed, in milliseconds: three heartbeats. */
const entryLifeMs = 4500;

/** Time after the store's return at which lapsed entries are back, in milliseconds. */
const relistMs = 1500;

const dataCenters = process.argv[2]!.split(',');
const upstreamsPerDataCenter = Number(process.argv[3]);
const store = await createPlatformStore();
const upstreams: PlatformUpstream[] = [];
const down = new Set<PlatformUpstream>();
let unlisted: readonly PlatformUpstream[] = [];

/** Time between two looks at the clock, and the lateness of one that counts as a stall, in milliseconds: orders get no answer in this time. */
const lookMs = 50;
const stallMs = 300;

const stalls: AppliedFault[] = [];
let lookedAt = getSharedTime();

function look(): void {
	const now = getSharedTime();
	if (now - lookedAt > stallMs) {
		stalls.push({
			kind: stallKind, target: 'store and upstreams', at: lookedAt, until: now,
		});
	}

	lookedAt = now;
}

function getKey(upstream: PlatformUpstream): string {
	const position = upstreams.indexOf(upstream);
	return `servers/i-${dataCenters[Math.floor(position / upstreamsPerDataCenter)]!}-${position % upstreamsPerDataCenter}`;
}

function setConfiguration(version: number): void {
	store.setText('op/config', JSON.stringify({
		version,
		routes: [prefix, `/added-${version}/`].map((path, position) => ({
			name: `r${position}`, host, prefix: path, service: 's', timeout_ms: 1500, target_runtime_ms: 60, priority: 0, max_attempts: 3, stretch: 1.6,
		})),
		services: [{
			name: 's', health_path: '/health', max_conns: 64, admission_control: true,
		}],
		limits: {},
	}));
}

function setStoreFaults(faults: Partial<StoreFaults>, isLapsing: boolean): void {
	Object.assign(store.faults, faults);
	if (isLapsing) {
		unlisted = [...unlisted, ...upstreams.filter((_, position) => position % 2 === 0)];
		for (const upstream of unlisted) {
			store.setText(getKey(upstream), undefined);
		}
	}
}

async function relist(): Promise<void> {
	const listed = unlisted;
	unlisted = [];
	await delay(relistMs);
	for (const upstream of listed.filter(upstream => !down.has(upstream))) {
		upstream.register('ready');
	}
}

async function crash(upstream: PlatformUpstream): Promise<void> {
	if (down.has(upstream)) {
		return;
	}

	down.add(upstream);
	await upstream.crash();
	await delay(entryLifeMs);
	if (down.has(upstream)) {
		store.setText(getKey(upstream), undefined);
	}
}

async function restart(upstream: PlatformUpstream): Promise<void> {
	if (down.delete(upstream)) {
		await upstream.restart();
	}
}

function setUpstreamFaults(chosen: readonly PlatformUpstream[], {lateMs, ...faults}: UpstreamFaults): void {
	for (const upstream of chosen) {
		Object.assign(upstream.faults, faults);
		if (lateMs !== undefined) {
			upstream.faults.getLateMs = () => lateMs;
		}
	}
}

function getRuns(): unknown {
	const offset = getSharedTime() - performance.now();
	return upstreams.flatMap(upstream => upstream.getStarts()).map(({task, number, upstream, startedAt, endedAt, end}) => ({
		task, number, upstream, startedAt: startedAt + offset, endedAt: endedAt === undefined ? undefined : endedAt + offset, end,
	}));
}

function carryOut(command: StandInCommand): unknown {
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

		case 'configuration': {
			setConfiguration(command.version);
			return {};
		}

		case 'stalls': {
			look();
			return stalls;
		}

		case 'runs': {
			return getRuns();
		}
	}
}

for (const dataCenter of dataCenters) {
	for (let position = 0; position < upstreamsPerDataCenter; position++) {
		upstreams.push(await createPlatformUpstream({
			id: `i-${dataCenter}-${position}`, dataCenter, service: 's', store, getWork,
		}));
	}
}

setConfiguration(1);
setInterval(look, lookMs);
process.stdout.write(`${JSON.stringify(store.getAddress())}\n`);
for await (const line of createInterface({input: process.stdin})) {
	process.stdout.write(`${JSON.stringify(carryOut(JSON.parse(line) as StandInCommand))}\n`);
}

process.exit(0); // eslint-disable-line unicorn/no-process-exit

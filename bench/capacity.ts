/**
 * Measures memory and processor time per record, queued task, upstream, team, version and event.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {type Member} from '../src/connection/index.js';
import {type ListedUpstream} from '../src/platform/index.js';
import {
	createTaskScheduler, CurrentValue, EventLog, RecordStore, type SavedRecord, type ScheduledJob, type SlotScheduler, type TaskEnd,
} from '../src/process/index.js';
import {systemClock} from '../src/seams/index.js';
import {type Configuration, configurationSchema} from '../src/version/index.js';
import {writeResults} from './support/results.js';

/** Measurements at one size. */
type Point = {
	readonly size: number;
	/** Heap per item, in bytes. */
	readonly bytesEach?: number;
	/** Processor time per operation, in microseconds. */
	readonly usEach?: number;
};

const recordCounts = [10_000, 50_000, 100_000];
const queuedTaskCounts = [10_000, 50_000];
const removedJobCounts = [1000, 10_000];
const upstreamCounts = [35, 220, 880];
const teamCounts = [1, 28];
const eventCounts = [20_000];
const serviceCounts = [5, 50, 200];
const tasksPerJob = 10;
const startCount = 60_000;
const slots = 8;
/** Slots occupied by tasks that never end, so that later tasks stay queued. */
const busySlots = 1000;
const answerBytes = 300;
const jobsInFlight = 400;
const microsecondsPerMillisecond = 1000;
const done: TaskEnd = {kind: 'answered', status: 200};

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Runs the measurement. */
export async function run(): Promise<void> {
	const measurements = {
		recordsWithAnswers: await measureEach(recordCounts, async size => measureRecords(size, answerBytes)),
		recordsWithoutAnswers: await measureEach(recordCounts, async size => measureRecords(size, 0)),
		queuedTasks: await measureEach(queuedTaskCounts, measureQueuedTasks),
		upstreams: await measureEach(upstreamCounts, measureUpstreams),
		startsByUpstreams: await measureEach(upstreamCounts, async size => measureStarts(size, 1)),
		startsByTeams: await measureEach(teamCounts, async size => measureStarts(220, size)),
		removedJobs: await measureEach(removedJobCounts, measureRemovals),
		events: await measureEach(eventCounts, measureEvents),
		versionsByServices: serviceCounts.map(size => measureVersion(size)),
	};
	for (const [name, points] of Object.entries(measurements)) {
		const texts = points.map(({size, bytesEach, usEach}) =>
			`${size}: ${[bytesEach === undefined ? '' : `${bytesEach.toFixed(0)} B`, usEach === undefined ? '' : `${usEach.toFixed(2)} us`].filter(Boolean).join(', ')}`);
		process.stdout.write(`${name.padEnd(22)} ${texts.join('; ')}\n`);
	}

	await writeResults('capacity', {tasksPerJob, answerBytes, ...measurements});
}

async function measureEach(sizes: readonly number[], measure: (size: number) => Promise<Point>): Promise<readonly Point[]> {
	const points: Point[] = [];
	for (const size of sizes) {
		points.push(await measure(size));
	}

	return points;
}

async function measureRecords(size: number, bytes: number): Promise<Point> {
	const before = await getHeapBytes();
	const store = new RecordStore({maxRecordsPerPeriod: Number.POSITIVE_INFINITY, maxAnswerBytes: Number.POSITIVE_INFINITY});
	const startedAt = performance.now();
	for (let index = 0; index < size; index++) {
		store.addSavedRecord(createRecord(index, bytes));
	}

	const usEach = (performance.now() - startedAt) * microsecondsPerMillisecond / size;
	const bytesEach = (await getHeapBytes() - before) / size;
	return {size: store.getRecordCount(), bytesEach, usEach};
}

function createRecord(index: number, bytes: number): SavedRecord {
	return {
		key: `key-${index}`,
		period: 1,
		attempt: 1,
		fingerprint: Buffer.from(`digest ${index}`.padEnd(20)).toString('base64'),
		outcome: 'complete',
		answer: bytes === 0
			? undefined
			: {
				outcome: 'complete', status: 200, headers: [['Content-Type', 'application/json']], body: Buffer.alloc(bytes, 'a'),
			},
	};
}

async function runForever(): Promise<TaskEnd> {
	return new Promise(() => {
		// The task never ends.
	});
}

/** Queues tasks for an upstream whose slots are all occupied by tasks that never end. */
async function measureQueuedTasks(size: number): Promise<Point> {
	const scheduler = await createScheduler(createUpstreams(1, busySlots), createConfiguration(1, 1));
	for (let index = 0; index < busySlots / tasksPerJob; index++) {
		scheduler.addJob(createJob(-index - 1, '', runForever));
	}

	const before = await getHeapBytes();
	const startedAt = performance.now();
	for (let index = 0; index < size / tasksPerJob; index++) {
		const admission = scheduler.addJob(createJob(index, '', runForever));
		if (!admission.admitted) {
			throw new Error(`job ${index} was refused: ${admission.detail}`);
		}
	}

	const usEach = (performance.now() - startedAt) * microsecondsPerMillisecond / size;
	const bytesEach = (await getHeapBytes() - before) / size;
	await scheduler.close();
	return {size, bytesEach, usEach};
}

/** Queues jobs of one task for an upstream whose slots are all occupied, and removes them in one iteration of the event loop. */
async function measureRemovals(size: number): Promise<Point> {
	const scheduler = await createScheduler(createUpstreams(1, busySlots), createConfiguration(1, 1));
	for (let index = 0; index < busySlots / tasksPerJob; index++) {
		scheduler.addJob(createJob(-index - 1, '', runForever));
	}

	const jobs = Array.from({length: size}, (_, index) => createJob(index, '', runForever, 1));
	for (const job of jobs) {
		const admission = scheduler.addJob(job);
		if (!admission.admitted) {
			throw new Error(`job ${job.id} was refused: ${admission.detail}`);
		}
	}

	await yieldToEventLoop();
	const startedAt = performance.now();
	for (const job of jobs) {
		scheduler.removeJob(job.id);
	}

	const usEach = (performance.now() - startedAt) * microsecondsPerMillisecond / size;
	await scheduler.close();
	return {size, usEach};
}

async function measureUpstreams(size: number): Promise<Point> {
	const before = await getHeapBytes();
	const scheduler = await createScheduler(createUpstreams(size, slots), createConfiguration(1, 1));
	const bytesEach = (await getHeapBytes() - before) / size;
	await scheduler.close();
	return {size, bytesEach};
}

/** Starts tasks that end immediately with `jobsInFlight` jobs queued, and measures the processor time per start. */
async function measureStarts(upstreamCount: number, teamCount: number): Promise<Point> {
	const scheduler = await createScheduler(createUpstreams(upstreamCount, slots), createConfiguration(1, teamCount));
	let ended = 0;
	let added = 0;
	const cpu = process.cpuUsage();
	await new Promise<void>(resolve => {
		const addJob = (): void => {
			added++;
			let tasksLeft = tasksPerJob;
			scheduler.addJob(createJob(added, teamCount === 1 ? '' : `team-${added % teamCount}`, async () => {
				await yieldToEventLoop();
				ended++;
				tasksLeft--;
				if (tasksLeft === 0 && added * tasksPerJob < startCount) {
					addJob();
				}

				if (ended === startCount) {
					resolve();
				}

				return done;
			}));
		};

		for (let index = 0; index < jobsInFlight; index++) {
			addJob();
		}
	});
	const {user, system} = process.cpuUsage(cpu);
	await scheduler.close();
	return {size: upstreamCount === 220 && teamCount > 1 ? teamCount : upstreamCount, usEach: (user + system) / startCount};
}

async function yieldToEventLoop(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

async function measureEvents(size: number): Promise<Point> {
	const before = await getHeapBytes();
	const events = new EventLog({process: 'bench', capacity: size});
	const startedAt = performance.now();
	for (let index = 0; index < size; index++) {
		events.addEvent('task-started', `dc1.e1.e1-0123456789ab.1/key-${index}`, `task ${index} on u1`);
	}

	const usEach = (performance.now() - startedAt) * microsecondsPerMillisecond / size;
	const bytesEach = (await getHeapBytes() - before) / size;
	return {size: events.getEvents().length, bytesEach, usEach};
}

/** Parses a version as a configuration follower does. */
function measureVersion(services: number): Point {
	const text = JSON.stringify(createConfiguration(services, 28));
	const rounds = 50;
	const startedAt = performance.now();
	for (let round = 0; round < rounds; round++) {
		configurationSchema.parse(JSON.parse(text));
	}

	return {size: services, bytesEach: text.length / services, usEach: (performance.now() - startedAt) * microsecondsPerMillisecond / rounds};
}

async function createScheduler(upstreams: readonly ListedUpstream[], configuration: Configuration): Promise<SlotScheduler> {
	const scheduler = createTaskScheduler({
		self: {dataCenter: 'dc1', vm: 'e1', id: 'e1-0'},
		upstreams: new CurrentValue(upstreams).getStream(),
		configuration: new CurrentValue(configuration).getStream(),
		members: new CurrentValue<readonly Member[]>([]).getStream(),
		sendControl: () => false,
		events: new EventLog({process: 'bench', capacity: 100}),
		clock: systemClock,
	});
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	return scheduler;
}

function createUpstreams(count: number, slotCount: number): readonly ListedUpstream[] {
	return Array.from({length: count}, (_, index): ListedUpstream => ({
		kind: 'upstream',
		name: `u${index}`,
		dataCenter: 'dc1',
		state: 'live',
		service: 'service-0',
		address: `10.0.${index >> 8}.${index & 255}:80`, // eslint-disable-line no-bitwise -- Bytes of an address.
		slots: slotCount,
		connections: 64,
		cores: 16,
		memoryMb: 32_768,
		accelerators: 1,
		rack: `r${index % 8}`,
	}));
}

function createConfiguration(services: number, teams: number): Configuration {
	return configurationSchema.parse({
		version: 1,
		changeId: 'bench',
		declarations: {
			profiles: {p: {maxQueuedTasks: 1_000_000, defaultDeadlineMs: 600_000}},
			services: Object.fromEntries(Array.from({length: services}, (_, index) => [`service-${index}`, {profile: 'p'}])),
			teams: Object.fromEntries(Array.from({length: teams}, (_, index) => [`team-${index}`, {maxSlots: 100_000, startsPerSecond: 1_000_000, burst: 1_000_000}])),
		},
	});
}

function createJob(index: number, team: string, runTask: () => Promise<TaskEnd>, taskCount = tasksPerJob): ScheduledJob {
	return {
		id: `dc1.e1.e1-0123456789ab.1/key-${index}`,
		service: 'service-0',
		team,
		deadline: systemClock.getMonotonicTime() + 600_000,
		tasks: Array.from({length: taskCount}, () => ({
			needs: {}, isIdempotent: false, run: async () => runTask(), abandon: () => undefined,
		})),
		expire: () => undefined,
	};
}

async function getHeapBytes(): Promise<number> {
	for (let round = 0; round < 3; round++) {
		collectGarbage();
		await yieldToEventLoop();
	}

	return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
}

/**
 * The graceful stop of an entry VM: running jobs finish within a time limit, and a successor adopts the records.
 */
import type Logger from 'bunyan';
import {type HttpListener, type Incarnation, type PeerNetwork} from '../connection/index.js';
import {type Clock, type Random, sleep} from '../seams/index.js';
import {type Coordinator} from './coordinator.js';
import {type CoordinatorDirectory} from './coordinator-directory.js';
import {type EventLog} from './events.js';
import {getSuccessors, type HandOverContent, sendHandOver} from './hand-over.js';
import {type JobRunner} from './job-runner.js';

/** Options of {@link stopGracefully}. */
export type GracefulStopOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log?: Logger;
	readonly events: EventLog;
	readonly self: Incarnation;
	readonly coordinator: Coordinator;
	readonly directory: CoordinatorDirectory;
	readonly runner: JobRunner;
	readonly peers: PeerNetwork;
	readonly callerListener: HttpListener;
	readonly drainMs: number;
	readonly stopTimeoutMs: number;
};

/** Maximum number of rounds in which every successor is tried. */
const maxRounds = 3;
const roundDelayMs = 200;
const transferIdBytes = 8;
const minWaitMs = 1000;

/**
 * Drains the listener for callers, waits for the jobs in progress up to the time limit, and hands the records over.
 * @param options - Components of the stopping process and the time limits.
 */
export async function stopGracefully(options: GracefulStopOptions): Promise<void> {
	const {clock, events, self, runner, callerListener, drainMs, stopTimeoutMs} = options;
	const startedAtMs = clock.getMonotonicTime();
	events.addEvent('process-stopping', self.id);
	callerListener.drain();
	await sleep(clock, drainMs);
	runner.stop();
	const getRemainingMs = (): number => Math.max(minWaitMs, startedAtMs + stopTimeoutMs - clock.getMonotonicTime());
	await waitAtMost(options, runner.waitUntilIdle(), getRemainingMs());
	await runner.abortJobs(`the graceful stop took longer than ${stopTimeoutMs} ms`);
	await handOverAll(options);
	await waitAtMost(options, callerListener.close(), getRemainingMs());
	await callerListener.abort();
}

async function waitAtMost({clock}: GracefulStopOptions, work: Promise<void>, timeoutMs: number): Promise<void> {
	const timerAbort = new AbortController();
	await Promise.race([work, sleep(clock, timeoutMs, timerAbort.signal)]);
	timerAbort.abort();
}

async function handOverAll(options: GracefulStopOptions): Promise<void> {
	const {coordinator, directory, self} = options;
	const ownContent: HandOverContent = {
		coordinator: {incarnation: self, period: coordinator.getRecords().getPeriod()},
		records: coordinator.getSavedRecords(),
	};
	const adoptedContents = directory.getAdoptedRecords().map(records => ({coordinator: records.coordinator, records: records.getSavedRecords()}));
	for (const content of [ownContent, ...adoptedContents]) {
		await handOver(content, options);
	}
}

async function handOver(content: HandOverContent, options: GracefulStopOptions): Promise<void> {
	const {clock, random, log, events, directory, peers, self} = options;
	const coordinatorId = content.coordinator.incarnation.id;
	for (let round = 0; round < maxRounds; round++) {
		for (const {incarnation} of getSuccessors(peers.getMembers(), self)) {
			const transferId = random.getHex(transferIdBytes);
			if (await sendHandOver(incarnation.id, {peers, transferId, content})) {
				directory.addSuccession(coordinatorId, incarnation.id);
				events.addEvent('records-handed-over', coordinatorId, `${content.records.length} records to ${incarnation.id}`);
				log?.info({coordinatorId, successorId: incarnation.id, records: content.records.length}, 'records handed over');
				return;
			}
		}

		await sleep(clock, roundDelayMs);
	}

	log?.warn({coordinatorId, records: content.records.length}, 'no successor adopted the records');
}

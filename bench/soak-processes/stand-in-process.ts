/**
 * The store and the upstreams of a soak of processes, seen from its runner.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {type SimulatedFaults, type StoreFaults} from '../../src/testing/index.js';
import {type AppliedFault, type TaskRun} from './history.js';

/** Route of the jobs. */
export const host = 'jobs.example';
export const prefix = '/jobs/';

/** Faults of upstreams; `lateMs` is the time by which orders are carried out late, in milliseconds. */
export type UpstreamFaults = Partial<Omit<SimulatedFaults, 'getLateMs'>> & {readonly lateMs?: number};

/** Something that the store or the upstreams are to do. */
export type StandInCommand =
	| {readonly kind: 'store'; readonly faults: Partial<StoreFaults>; readonly isLapsing: boolean}
	| {readonly kind: 'relist' | 'forget' | 'runs' | 'stalls'}
	| {readonly kind: 'upstreams'; readonly positions: readonly number[]; readonly faults: UpstreamFaults}
	| {readonly kind: 'crash' | 'restart'; readonly positions: readonly number[]}
	| {readonly kind: 'configuration'; readonly version: number};

/** Options of {@link StandInProcess}. */
export type StandInProcessOptions = {
	readonly dataCenters: readonly string[];
	readonly upstreamsPerDataCenter: number;
	/** Descriptor of the file that takes its errors. */
	readonly logFile: number;
};

/** Runs until `close`. */
export class StandInProcess {
	readonly #child: ChildProcess;
	readonly #answers: AsyncIterator<string>;
	#last: Promise<unknown>;

	constructor({dataCenters, upstreamsPerDataCenter, logFile}: StandInProcessOptions) {
		const main = fileURLToPath(new URL('stand-in-process-main.ts', import.meta.url));
		const parameters = ['--import=tsx', main, dataCenters.join(','), String(upstreamsPerDataCenter)];
		this.#child = spawn(process.execPath, parameters, {stdio: ['pipe', 'pipe', logFile]});
		this.#answers = createInterface({input: this.#child.stdout!})[Symbol.asyncIterator]();
		this.#last = this.#read();
	}

	/** Gets the address of the store. */
	async getStoreAddress(): Promise<string> {
		return await this.#last as string;
	}

	/** Has a command carried out, after those before. */
	async send(command: StandInCommand): Promise<unknown> {
		this.#child.stdin!.write(`${JSON.stringify(command)}\n`);
		const before = this.#last;
		const answer = (async () => {
			await before;
			return this.#read();
		})();
		this.#last = answer;
		return answer;
	}

	/** Gets all runs so far. */
	async getRuns(): Promise<readonly TaskRun[]> {
		return await this.send({kind: 'runs'}) as readonly TaskRun[];
	}

	/** Gets the times at which neither the store nor an upstream did anything, because their process got no processor time. */
	async getStalls(): Promise<readonly AppliedFault[]> {
		return await this.send({kind: 'stalls'}) as readonly AppliedFault[];
	}

	/** Ends the process. */
	close(): void {
		this.#child.kill('SIGKILL');
	}

	async #read(): Promise<unknown> {
		const line = await this.#answers.next();
		if (line.done) {
			throw new Error('the process of the store and the upstreams has ended');
		}

		return JSON.parse(line.value) as unknown;
	}
}

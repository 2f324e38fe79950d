/**
 * Client of the process that runs the stand-ins of the store and the upstreams in a process soak.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {type SimulatedUpstreamFaults, type StoreFaults} from '../../src/testing/index.js';
import {type AppliedFault, type UpstreamHistory} from './history.js';

/** Host and path prefix of the route that jobs are submitted to. */
export const host = 'jobs.example';
export const prefix = '/jobs/';

/**
 * Faults of upstreams; `lateMs` is the delay before a request to an upstream is executed, `maxAnswerDelayMs` the maximum delay of an answer, in
 * milliseconds.
 */
export type UpstreamFaults = Pick<Partial<SimulatedUpstreamFaults>, 'isMute' | 'slowness' | 'stopMs'> & {
	readonly lateMs?: number;
	/** Share of the requests that are executed late, each by itself; all by default. */
	readonly lateShare?: number;
	readonly maxAnswerDelayMs?: number;
	readonly hasOddAnswers?: boolean;
};

/** Command to the store or the upstreams. */
export type StandInCommand =
	| {readonly kind: 'store'; readonly faults: Partial<StoreFaults>; readonly isLapsing: boolean}
	| {readonly kind: 'relist' | 'forget' | 'history' | 'stalls'}
	| {readonly kind: 'upstreams'; readonly positions: readonly number[]; readonly faults: UpstreamFaults}
	| {readonly kind: 'crash' | 'restart' | 'overwrite-entries' | 'restore-entries'; readonly positions: readonly number[]}
	| {readonly kind: 'start-again'; readonly positions: readonly number[]; readonly formerLifeMs: number; readonly isFormerReachable: boolean}
	| {readonly kind: 'capacity'; readonly positions: readonly number[]; readonly isShrunk: boolean}
	| {readonly kind: 'deadly-jobs'; readonly mode: 'off' | 'one-task' | 'all-tasks'}
	| {readonly kind: 'configuration'; readonly version: number};

/** Options of {@link StandInProcess}. */
export type StandInProcessOptions = {
	readonly dataCenters: readonly string[];
	readonly upstreamsPerDataCenter: number;
	/** Whether the upstreams refuse what exceeds their capacity. */
	readonly areUpstreamsGuarded: boolean;
	/** File descriptor that its standard error is written to. */
	readonly logFile: number;
};

/** Starts the process and sends commands to it until `close`. */
export class StandInProcess {
	readonly #child: ChildProcess;
	readonly #lines: AsyncIterator<string>;
	#lastResponse: Promise<unknown>;

	constructor({dataCenters, upstreamsPerDataCenter, areUpstreamsGuarded, logFile}: StandInProcessOptions) {
		const main = fileURLToPath(new URL('stand-in-process-main.ts', import.meta.url));
		const parameters = ['--import=tsx', main, dataCenters.join(','), String(upstreamsPerDataCenter), String(areUpstreamsGuarded)];
		this.#child = spawn(process.execPath, parameters, {stdio: ['pipe', 'pipe', logFile]});
		this.#lines = createInterface({input: this.#child.stdout!})[Symbol.asyncIterator]();
		this.#lastResponse = this.#readLine();
	}

	/** Gets the address of the store. */
	async getStoreAddress(): Promise<string> {
		return await this.#lastResponse as string;
	}

	/**
	 * Sends a command; commands are executed in order.
	 * @param command - Command to execute.
	 * @returns Result of the command.
	 */
	async send(command: StandInCommand): Promise<unknown> {
		this.#child.stdin!.write(`${JSON.stringify(command)}\n`);
		const previous = this.#lastResponse;
		const response = (async () => {
			await previous;
			return this.#readLine();
		})();
		this.#lastResponse = response;
		return response;
	}

	/** Gets what the upstreams have seen so far. */
	async getHistory(): Promise<UpstreamHistory> {
		return await this.send({kind: 'history'}) as UpstreamHistory;
	}

	/** Gets the times in which neither the store nor an upstream responded, because their process got no processor time. */
	async getStalls(): Promise<readonly AppliedFault[]> {
		return await this.send({kind: 'stalls'}) as readonly AppliedFault[];
	}

	/** Kills the process. */
	close(): void {
		this.#child.kill('SIGKILL');
	}

	async #readLine(): Promise<unknown> {
		const line = await this.#lines.next();
		if (line.done) {
			throw new Error('the process of the stand-ins has exited');
		}

		return JSON.parse(line.value) as unknown;
	}
}

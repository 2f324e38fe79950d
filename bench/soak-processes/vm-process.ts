/**
 * One entry VM of a process soak: runs the bundled daemon as in a deployment.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {closeSync, openSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	type AppliedFault, getSharedTime, plannedStopKind, type ProcessEnd,
} from './history.js';

/** Options of {@link VmProcess}. */
export type VmProcessOptions = {
	readonly name: string;
	readonly dataCenter: string;
	readonly dataCenters: readonly string[];
	readonly ip: string;
	readonly seedIps: readonly string[];
	readonly storeAddress: string;
	/** Ports of the proxies through which it reaches the other VMs, by their addresses; reached directly by default. */
	readonly linkPorts?: Readonly<Record<string, number>>;
	/** Further arguments of the runtime; none by default. */
	readonly runtimeArguments?: readonly string[];
	/** Folder for its settings file and its log. */
	readonly folder: string;
	readonly onEnd: (end: ProcessEnd) => void;
	readonly onFault: (fault: AppliedFault) => void;
};

const root = fileURLToPath(new URL('../..', import.meta.url));
const linkRouter = fileURLToPath(new URL('route-links.cjs', import.meta.url));
const nodeArguments = ['--max-old-space-size=160', '--max-semi-space-size=16', '--interrupt-budget=1000000', 'deploy/start.cjs'];

/** Time from the stop signal to the kill, in milliseconds; the documented `grace_s`. */
const stopGraceMs = 6000;

/** Time after which a process that exited by itself is restarted, in milliseconds. */
const restartDelayMs = 500;
const callerPort = 8161;
/** Port on which VMs reach each other. */
export const peerPort = 8166;
const readinessPort = 8167;

/** Starts, stops and disturbs the process of one VM; times are of the shared clock. */
export class VmProcess {
	readonly #options: VmProcessOptions;
	#child: ChildProcess | undefined;
	#ended: Promise<void> = Promise.resolve();
	#isEndExpected = false;
	#isStopping = false;
	#isClosed = false;

	constructor(options: VmProcessOptions) {
		this.#options = options;
		writeFileSync(this.#getFile('conf'), this.#createSettings());
	}

	/** Gets the name of the VM. */
	getName(): string {
		return this.#options.name;
	}

	/** Gets the data centre of the VM. */
	getDataCenter(): string {
		return this.#options.dataCenter;
	}

	/** Gets the identifier of the running process; `undefined` if there is none. */
	getProcessId(): number | undefined {
		return this.#child?.pid;
	}

	/** Gets the base URL for callers. */
	getCallerUrl(): string {
		return `http://${this.#options.ip}:${callerPort}`;
	}

	/** Gets the URL of the readiness check. */
	getReadinessUrl(): string {
		return `http://${this.#options.ip}:${readinessPort}/api/readiness`;
	}

	/** Starts the process unless it is running or closed. */
	start(): void {
		if (this.#isClosed || this.#child) {
			return;
		}

		const logFile = openSync(this.#getFile('log'), 'a');
		const {linkPorts, runtimeArguments = []} = this.#options;
		const env = {PATH: process.env.PATH, ENDIVEMILL_CONFIG: this.#getFile('conf'), ...(linkPorts && {SOAK_LINKS: JSON.stringify(linkPorts)})};
		const child = spawn(process.execPath, [...(linkPorts ? [`--require=${linkRouter}`] : []), ...runtimeArguments, ...nodeArguments], {cwd: root, env, stdio: ['ignore', logFile, logFile]});
		closeSync(logFile);
		this.#child = child;
		this.#isEndExpected = false;
		this.#isStopping = false;
		this.#ended = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				this.#child = undefined;
				this.#options.onEnd({
					vm: this.#options.name, at: getSharedTime(), wasTold: this.#isEndExpected, how: `code ${code}, signal ${signal}`,
				});
				resolve();
				if (!this.#isEndExpected) {
					setTimeout(() => {
						this.start();
					}, restartDelayMs);
				}
			});
		});
	}

	/**
	 * Stops the process as planned, kills it after the grace period, and restarts it.
	 * @param downMs - Time from the exit to the restart, in milliseconds.
	 */
	async stop(downMs: number): Promise<void> {
		const child = this.#child;
		if (!child || this.#isStopping) {
			return;
		}

		const at = getSharedTime();
		this.#isStopping = true;
		this.#isEndExpected = true;
		child.kill('SIGTERM');
		const timer = setTimeout(() => {
			child.kill('SIGKILL');
		}, stopGraceMs);
		await this.#ended;
		clearTimeout(timer);
		this.#addFault(plannedStopKind, at);
		await delay(downMs);
		this.start();
	}

	/**
	 * Kills the process and restarts it.
	 * @param downMs - Time from the exit to the restart, in milliseconds.
	 */
	async kill(downMs: number): Promise<void> {
		const child = this.#child;
		if (!child) {
			return;
		}

		const at = getSharedTime();
		this.#isEndExpected = true;
		child.kill('SIGKILL');
		await this.#ended;
		await delay(downMs);
		this.start();
		this.#addFault('kill', at);
	}

	/**
	 * Suspends the process.
	 * @param durationMs - Time until it resumes, in milliseconds.
	 */
	async freeze(durationMs: number): Promise<void> {
		const child = this.#child;
		if (!child) {
			return;
		}

		const at = getSharedTime();
		child.kill('SIGSTOP');
		await delay(durationMs);
		child.kill('SIGCONT');
		this.#addFault('freeze', at);
	}

	/**
	 * Leaves the process a share of its processor time, by suspending it again and again.
	 * @param durationMs - Time until it has all of it again, in milliseconds.
	 * @param share - Share of each period.
	 * @param periodMs - Period in milliseconds.
	 * @param kind - Kind of the fault.
	 */
	async starve(durationMs: number, share: number, periodMs: number, kind = 'processor-late'): Promise<void> {
		const child = this.#child;
		if (!child) {
			return;
		}

		const at = getSharedTime();
		while (getSharedTime() - at < durationMs && this.#child === child) {
			child.kill('SIGSTOP');
			await delay(periodMs * (1 - share));
			child.kill('SIGCONT');
			await delay(periodMs * share);
		}

		this.#addFault(kind, at);
	}

	/** Kills the process without a restart, even while it is suspended. */
	async close(): Promise<void> {
		this.#isClosed = true;
		this.#isEndExpected = true;
		this.#child?.kill('SIGKILL');
		await this.#ended;
	}

	#addFault(kind: string, at: number): void {
		this.#options.onFault({
			kind, target: this.#options.name, at, until: getSharedTime(),
		});
	}

	#getFile(extension: string): string {
		return path.join(this.#options.folder, `${this.#options.name}.${extension}`);
	}

	#createSettings(): string {
		const {name, dataCenter, dataCenters, ip, seedIps, storeAddress} = this.#options;
		return [
			`node_name=${name}`,
			'machine_class=edge',
			'serves=edge,control',
			`ip=${ip}`,
			`zone=${dataCenter}`,
			...dataCenters.map(zone => `zones.${zone}=region`),
			`listen.front=${ip}:${callerPort}`,
			`listen.ready=${ip}:${readinessPort}`,
			`listen.control=${ip}:${peerPort}`,
			`seeds=${seedIps.map(seed => `${seed}:${peerPort}`).join(',')}`,
			'limits.cpu_share=0.675',
			'limits.cores=1',
			`bounds.grace_s=${stopGraceMs / 1000}`,
			'bounds.max_hold_ms=1000',
			`platform.address=${storeAddress}`,
		].join('\n');
	}
}

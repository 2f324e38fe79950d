/**
 * A soak of processes: series of faults with callers at work, each followed by a wait for normal service.
 */
import {
	closeSync, mkdtempSync, openSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Client} from 'undici';
import {createSeededRandom} from '../../src/seams/index.js';
import {type StoreFaults} from '../../src/testing/index.js';
import {Balancer} from './balancer.js';
import {Caller, sendJob} from './caller.js';
import {
	type Violation, checkHistory, getRecoveryStart, maxRecoveryMs,
} from './check-history.js';
import {
	type AppliedFault, getSharedTime, type ProcessEnd, type Recovery, type Submission, type SoakHistory,
} from './history.js';
import {jobKinds} from './jobs.js';
import {createFaultPlan, type SoakFaultKind, type PlannedFault} from './plan.js';
import {VmProcess} from './vm-process.js';
import {type UpstreamFaults, StandInProcess, type StandInCommand} from './stand-in-process.js';

/** Options of {@link runSoak}. */
export type SoakOptions = {
	readonly seed: number;
	/** Time of the faults together, in milliseconds; the waits for normal service come on top. */
	readonly lengthMs: number;
	readonly vmCount?: number;
	readonly dataCenters?: readonly string[];
	readonly upstreamsPerDataCenter?: number;
	readonly callerCount?: number;
	/** Whether the folder of the logs stays where no promise was broken. */
	readonly keepsLogs?: boolean;
};

/** What a soak showed. */
export type SoakResult = {
	readonly history: SoakHistory;
	readonly violations: readonly Violation[];
	/** Folder with the logs of all processes and the history; it is gone where no promise was broken. */
	readonly folder: string;
};

/** Longest series of faults, in milliseconds: what was done first is still seen at its end. */
const maxSeriesMs = 12_000;

/** Longest wait for normal service, in milliseconds, also where the machine holds the stand-ins up again and again. */
const maxStartMs = 60_000;
const configurationMs = 1500;
const callerPauseMs = 600;

/** Answers in a row that count as normal service. */
const normalAnswers = 3;
const pollMs = 100;

/** Runs a soak and checks what was seen. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
	const soak = new SoakRun(options);
	const stop = async (): Promise<void> => {
		await soak.close();
		process.exit(1); // eslint-disable-line unicorn/no-process-exit
	};

	process.once('SIGINT', stop);
	process.once('SIGTERM', stop);
	try {
		return await soak.run();
	} finally {
		process.off('SIGINT', stop);
		process.off('SIGTERM', stop);
		await soak.close();
	}
}

type WorldFault = PlannedFault & {readonly kind: Exclude<SoakFaultKind, 'stop' | 'kill' | 'freeze'>};

class SoakRun {
	readonly #options: Required<SoakOptions>;
	readonly #folder: string;
	readonly #world: StandInProcess;
	readonly #vms: VmProcess[] = [];
	readonly #sends: Submission[] = [];
	readonly #faults: AppliedFault[] = [];
	readonly #ends: ProcessEnd[] = [];
	readonly #recoveries: Recovery[] = [];
	readonly #callers: Caller[] = [];
	#balancer: Balancer | undefined;
	#version = 1;
	#canaries = 0;

	constructor(options: SoakOptions) {
		this.#options = {
			vmCount: 9, dataCenters: ['dc1', 'dc2', 'dc3'], upstreamsPerDataCenter: 18, callerCount: 12, keepsLogs: false, ...options,
		};
		this.#folder = mkdtempSync(path.join(tmpdir(), `endivemill-soak-${options.seed}-`));
		const logFile = openSync(path.join(this.#folder, 'world.log'), 'a');
		const {dataCenters, upstreamsPerDataCenter} = this.#options;
		this.#world = new StandInProcess({dataCenters, upstreamsPerDataCenter, logFile});
		closeSync(logFile);
	}

	async run(): Promise<SoakResult> {
		const {lengthMs, keepsLogs} = this.#options;
		await this.#start();
		const callersDone = Promise.all(this.#callers.map(async caller => caller.run()));
		const timer = setInterval(() => {
			this.#version += 1 + (this.#version % 3);
			void this.#world.send({kind: 'configuration', version: this.#version});
		}, configurationMs);
		let broken: readonly Violation[] = [];
		for (let series = 0, leftMs = lengthMs; leftMs > 0 && broken.length === 0; series++, leftMs -= maxSeriesMs) {
			await this.#runSeries(series, Math.min(leftMs, maxSeriesMs));
			broken = checkHistory(await this.#getHistory());
		}

		clearInterval(timer);
		for (const caller of this.#callers) {
			caller.close();
		}

		await callersDone;
		const history = await this.#getHistory();
		broken = checkHistory(history);
		if (broken.length === 0 && !keepsLogs) {
			rmSync(this.#folder, {recursive: true});
		} else {
			writeFileSync(path.join(this.#folder, 'history.json'), JSON.stringify({...history, broken}));
		}

		return {history, violations: broken, folder: this.#folder};
	}

	/** Ends all processes, each by its own handle. */
	async close(): Promise<void> {
		this.#balancer?.close();
		for (const caller of this.#callers) {
			caller.close();
		}

		this.#world.close();
		await Promise.all(this.#vms.map(async vm => vm.close()));
	}

	async #start(): Promise<void> {
		const {dataCenters, vmCount, callerCount, seed} = this.#options;
		const storeAddress = await this.#world.getStoreAddress();
		const ips = Array.from({length: vmCount}, (_, position) => getIp(position));
		for (const [position, ip] of ips.entries()) {
			const dataCenter = dataCenters[position % dataCenters.length]!;
			this.#vms.push(new VmProcess({
				name: `edge-${dataCenter}-${Math.floor(position / dataCenters.length)}`, dataCenter, dataCenters, ip, seedIps: ips.slice(0, 3), storeAddress, folder: this.#folder,
				onEnd: end => this.#ends.push(end),
				onFault: fault => this.#faults.push(fault),
			}));
		}

		for (const vm of this.#vms) {
			vm.start();
		}

		const balancer = new Balancer(this.#vms);
		this.#balancer = balancer;
		const endAt = getSharedTime() + maxStartMs;
		while (!balancer.areAllReady() && getSharedTime() < endAt) {
			await delay(pollMs);
		}

		await Promise.all(this.#vms.map(async vm => this.#waitUntilNormal(vm, maxStartMs)));
		for (let position = 0; position < callerCount; position++) {
			this.#callers.push(new Caller({
				name: position.toString(16).padStart(3, '0'), dataCenter: dataCenters[position % dataCenters.length]!, balancer, random: createSeededRandom((seed * 1000) + position),
				meanPauseMs: callerPauseMs, onSubmission: send => this.#sends.push(send),
			}));
		}
	}

	/** Injects the faults of a series and waits for normal service. */
	async #runSeries(series: number, lengthMs: number): Promise<void> {
		const {seed, vmCount, dataCenters, upstreamsPerDataCenter} = this.#options;
		const plan = createFaultPlan({
			seed, series, vmCount, upstreamCount: dataCenters.length * upstreamsPerDataCenter, lengthMs,
		});
		await Promise.all(plan.map(async fault => {
			await delay(fault.atMs);
			await this.#inject(fault);
		}));
		for (const vm of this.#vms) {
			vm.start();
		}

		const from = getSharedTime();
		await Promise.all(this.#vms.map(async vm => {
			this.#recoveries.push({vm: vm.getName(), from, servedAt: await this.#waitUntilNormal(vm, maxRecoveryMs)});
		}));
	}

	async #inject(fault: PlannedFault): Promise<void> {
		const vm = this.#vms[fault.target % this.#vms.length]!;
		switch (fault.kind) {
			case 'stop': {
				return vm.stop(fault.durationMs);
			}

			case 'kill': {
				return vm.kill(fault.durationMs);
			}

			case 'freeze': {
				return vm.freeze(fault.durationMs);
			}

			case 'store-away':
			case 'store-silent':
			case 'store-slow':
			case 'store-loses-answers':
			case 'store-forgets':
			case 'orders-late':
			case 'answers-lost':
			case 'upstream-slow':
			case 'upstream-crash': {
				return this.#injectIntoWorld({...fault, kind: fault.kind});
			}
		}
	}

	async #injectIntoWorld(fault: WorldFault): Promise<void> {
		const at = getSharedTime();
		const {begin, end} = getWorldCommands(fault);
		await this.#world.send(begin);
		await delay(fault.durationMs);
		await Promise.all(end.map(async command => this.#world.send(command)));
		this.#faults.push({
			kind: fault.kind, target: `${fault.target} ${fault.count}`, at, until: getSharedTime(),
		});
	}

	/** Sends jobs to a VM until it has served some in a row; gets the time, or `undefined` where it did not in time. */
	async #waitUntilNormal(vm: VmProcess, limitMs: number): Promise<number | undefined> {
		const client = new Client(vm.getCallerUrl());
		const kind = jobKinds[2]!;
		const recovery = {vm: vm.getName(), from: getSharedTime(), servedAt: undefined};
		try {
			let servedInRow = 0;
			while (getSharedTime() < Math.min(recovery.from + maxStartMs, getRecoveryStart(recovery, await this.#world.getStalls()) + limitMs)) {
				this.#canaries++;
				const job = `2f${this.#canaries.toString(16).padStart(14, '0')}`;
				const sentAt = getSharedTime();
				const result = await sendJob(client, job, kind);
				this.#sends.push({
					job, taskCount: kind.taskCount, vm: vm.getName(), sentAt, endedAt: getSharedTime(), ...result,
				});
				servedInRow = result.state === 'completed' ? servedInRow + 1 : 0;
				if (servedInRow === normalAnswers) {
					return getSharedTime();
				}

				await delay(pollMs);
			}

			return undefined;
		} finally {
			await client.destroy();
		}
	}

	async #getHistory(): Promise<SoakHistory> {
		return {
			sends: [...this.#sends], runs: await this.#world.getRuns(), faults: [...this.#faults, ...await this.#world.getStalls()], ends: [...this.#ends], recoveries: [...this.#recoveries],
		};
	}
}

/** Gets the commands at the beginning and at the end of a fault of the store or of upstreams. */
function getWorldCommands({kind, target, count, durationMs, isLapsing}: WorldFault): {readonly begin: StandInCommand; readonly end: readonly StandInCommand[]} {
	const positions = Array.from({length: count}, (_, index) => target + index);
	const store = (faults: Partial<StoreFaults>, lapses = false): StandInCommand => ({kind: 'store', faults, isLapsing: lapses});
	const upstreams = (faults: UpstreamFaults): StandInCommand => ({kind: 'upstreams', positions, faults});
	switch (kind) {
		case 'store-away': {
			return {begin: store({refusal: 503}, isLapsing), end: [store({refusal: undefined}), {kind: 'relist'}]};
		}

		case 'store-silent': {
			return {begin: store({isSilent: true}, isLapsing), end: [store({isSilent: false}), {kind: 'relist'}]};
		}

		case 'store-slow': {
			return {begin: store({delayMs: durationMs / 5}), end: [store({delayMs: 0})]};
		}

		case 'store-loses-answers': {
			return {begin: store({isLosingAnswers: true}), end: [store({isLosingAnswers: false})]};
		}

		case 'store-forgets': {
			return {begin: {kind: 'forget'}, end: []};
		}

		case 'orders-late': {
			return {begin: upstreams({lateMs: durationMs}), end: [upstreams({lateMs: 0})]};
		}

		case 'answers-lost': {
			return {begin: upstreams({isMute: true}), end: [upstreams({isMute: false})]};
		}

		case 'upstream-slow': {
			return {begin: upstreams({slowness: 5}), end: [upstreams({slowness: 1})]};
		}

		case 'upstream-crash': {
			return {begin: {kind: 'crash', positions}, end: [{kind: 'restart', positions}]};
		}
	}
}

/** Gets an address of this run on which no other process listens. */
function getIp(position: number): string {
	return `127.${64 + (process.pid % 64)}.${Math.floor(process.pid / 64) % 256}.${1 + position}`;
}

/**
 * Runs a process soak: series of faults while callers submit jobs, each followed by a wait for normal service.
 */
import {
	closeSync, mkdtempSync, openSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Client} from 'undici';
import {createSeededRandom, type Random} from '../../src/seams/index.js';
import {type StoreFaults} from '../../src/testing/index.js';
import {getRestartGaps, type RestartGap} from '../../src/testing/restart-gaps.js';
import {Balancer} from './balancer.js';
import {Caller, submitJob} from './caller.js';
import {
	type Violation, checkHistory, getRecoveryStart, maxRecoveryMs,
} from './check-history.js';
import {
	type AppliedFault, getSharedTime, type ProcessEnd, type Recovery, type Submission, type SoakHistory,
} from './history.js';
import {jobKinds} from './jobs.js';
import {
	areUpstreamsGuarded, createFaultPlan, type SoakFaultKind, type PlannedFault,
} from './plan.js';
import {LinkProxies} from './link-proxies.js';
import {readRestartLines} from './restart-lines.js';
import {peerPort, VmProcess} from './vm-process.js';
import {type UpstreamFaults, StandInProcess, type StandInCommand} from './stand-in-process.js';

/** Options of {@link runSoak}. */
export type SoakOptions = {
	readonly seed: number;
	/** Total time of the series of faults, in milliseconds, without the waits for normal service. */
	readonly lengthMs: number;
	readonly vmCount?: number;
	readonly dataCenters?: readonly string[];
	readonly upstreamsPerDataCenter?: number;
	readonly callerCount?: number;
	/** Number of further callers that wait for long; none by default. */
	readonly patientCallerCount?: number;
	/** Number of the faults of links, processors and callers' connections in each series; none by default. */
	readonly linkFaultCount?: number;
	/** Number of groups of upstreams that crash or start again around faults of links in each series; none by default. */
	readonly restartCount?: number;
	/** Number of groups of faults around callers that leave a VM which is short of processor time, in each series; none by default. */
	readonly leavingCount?: number;
	/** Share of the callers' jobs that have many small tasks; none by default. */
	readonly largeJobShare?: number;
	/** Mean time between two jobs of a caller, in milliseconds. */
	readonly meanCallerPauseMs?: number;
	/** Whether the folder of the logs is kept when there are no violations. */
	readonly keepsLogs?: boolean;
};

/** Result of a soak. */
export type SoakResult = {
	readonly history: SoakHistory;
	readonly violations: readonly Violation[];
	/** Starts of tasks that had been started before, the shortest gap first. */
	readonly restartGaps: readonly RestartGap[];
	/** Folder with the logs of all processes and the history; removed when there are no violations, unless logs are kept. */
	readonly folder: string;
};

/** Longest series of faults, in milliseconds; short enough that the effects of its first fault are still visible at its end. */
const maxSeriesMs = 12_000;

/** Longest wait for normal service, in milliseconds, even if the stand-ins stall repeatedly on a busy machine. */
const maxWaitMs = 60_000;
const configurationIntervalMs = 1500;
const defaultMeanPauseMs = 600;

/** Share of the processor time that a VM is left with, and period of its suspensions in milliseconds: minimum and range. */
const minProcessorShare = 0.15;
const processorShareRange = 0.5;
const minStarvedPeriodMs = 40;
const starvedPeriodRangeMs = 500;

/** Length of a slice of processor time, and minimum and range of the gaps between them, in milliseconds; longer ones count as pauses. */
const sliceMs = 2;
const minSliceGapMs = 100;
const sliceGapRangeMs = 290;

/** Share of long jobs where callers leave, and longest time between two callers that leave, in milliseconds. */
const longJobShare = 0.5;
const maxLeavingPauseMs = 150;

/** Longest time that a stop takes, in milliseconds; the documented `stop_timeout_ms`. */
const maxStopMs = 50;

/** Share of the orders that are late where they are late one by one. */
const lateOrderShare = 0.05;

/** Maximum delay over a slow link, in milliseconds. */
const maxLinkDelayMs = 400;

/** Consecutive completed jobs that count as normal service. */
const requiredServedJobs = 3;
const pollIntervalMs = 100;

/** Maximum delay of answers that overtake each other, in milliseconds. */
const maxAnswerDelayMs = 400;

/**
 * Runs a soak and checks its history.
 * @param options - Seed, length and size of the deployment.
 */
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

type LinkFaultKind = 'link-reset' | 'link-silent' | 'link-one-way' | 'link-slow';
type StandInFault = PlannedFault & {readonly kind: Exclude<SoakFaultKind, 'stop' | 'kill' | 'freeze' | 'processor-late' | 'processor-slices' | 'callers-reset' | 'callers-leave' | 'store-partly' | LinkFaultKind>};

class SoakRun {
	readonly #options: Required<SoakOptions>;
	readonly #folder: string;
	readonly #standIns: StandInProcess;
	readonly #vms: VmProcess[] = [];
	readonly #submissions: Submission[] = [];
	readonly #faults: AppliedFault[] = [];
	readonly #processEnds: ProcessEnd[] = [];
	readonly #recoveries: Recovery[] = [];
	readonly #callers: Caller[] = [];
	readonly #random: Random;
	#links: LinkProxies | undefined;
	#balancer: Balancer | undefined;
	#configurationVersion = 1;
	#probeCount = 0;

	constructor(options: SoakOptions) {
		this.#options = {
			vmCount: 9, dataCenters: ['dc1', 'dc2', 'dc3'], upstreamsPerDataCenter: 18, callerCount: 12, patientCallerCount: 0, keepsLogs: false, linkFaultCount: 0, restartCount: 0,
			leavingCount: 0, largeJobShare: 0, meanCallerPauseMs: defaultMeanPauseMs, ...options,
		};
		this.#random = createSeededRandom(options.seed + 1);
		this.#folder = mkdtempSync(path.join(tmpdir(), `endivemill-soak-${options.seed}-`));
		const logFile = openSync(path.join(this.#folder, 'world.log'), 'a');
		const {dataCenters, upstreamsPerDataCenter} = this.#options;
		this.#standIns = new StandInProcess({
			dataCenters, upstreamsPerDataCenter, areUpstreamsGuarded: areUpstreamsGuarded(options.seed), logFile,
		});
		closeSync(logFile);
	}

	async run(): Promise<SoakResult> {
		const {lengthMs, keepsLogs} = this.#options;
		await this.#start();
		const callersDone = Promise.all(this.#callers.map(async caller => caller.run()));
		const timer = setInterval(() => {
			this.#configurationVersion += 1 + (this.#configurationVersion % 3);
			void this.#standIns.send({kind: 'configuration', version: this.#configurationVersion});
		}, configurationIntervalMs);
		let violations: readonly Violation[] = [];
		for (let series = 0, remainingMs = lengthMs; remainingMs > 0 && violations.length === 0; series++, remainingMs -= maxSeriesMs) {
			await this.#runSeries(series, Math.min(remainingMs, maxSeriesMs));
			violations = checkHistory(await this.#getHistory());
		}

		clearInterval(timer);
		for (const caller of this.#callers) {
			caller.close();
		}

		await callersDone;
		const history = await this.#getHistory();
		violations = checkHistory(history);
		const restartGaps = getRestartGaps({runs: history.runs, submissions: history.sends, logLines: readRestartLines(this.#folder)});
		if (violations.length === 0 && !keepsLogs) {
			rmSync(this.#folder, {recursive: true});
		} else {
			writeFileSync(path.join(this.#folder, 'history.json'), JSON.stringify({...history, broken: violations}));
		}

		return {
			history, violations, restartGaps, folder: this.#folder,
		};
	}

	/** Kills all processes, each through its own handle. */
	async close(): Promise<void> {
		this.#balancer?.close();
		this.#links?.close();
		for (const caller of this.#callers) {
			caller.close();
		}

		this.#standIns.close();
		await Promise.all(this.#vms.map(async vm => vm.close()));
	}

	async #start(): Promise<void> {
		const {dataCenters, vmCount, callerCount, patientCallerCount, seed, linkFaultCount, leavingCount, largeJobShare, meanCallerPauseMs} = this.#options;
		const storeAddress = await this.#standIns.getStoreAddress();
		const ips = Array.from({length: vmCount}, (_, position) => getIp(position));
		if (linkFaultCount + leavingCount > 0) {
			// The store stands behind the VMs.
			this.#links = new LinkProxies([...ips.map(ip => `${ip}:${peerPort}`), storeAddress]);
			await this.#links.listen();
		}

		for (const [position, ip] of ips.entries()) {
			const dataCenter = dataCenters[position % dataCenters.length]!;
			this.#vms.push(new VmProcess({
				name: `edge-${dataCenter}-${Math.floor(position / dataCenters.length)}`, dataCenter, dataCenters, ip, seedIps: ips.slice(0, 3), storeAddress, folder: this.#folder, linkPorts: this.#links?.getPorts(position),
				onEnd: end => this.#processEnds.push(end),
				onFault: fault => this.#faults.push(fault),
			}));
		}

		for (const vm of this.#vms) {
			vm.start();
		}

		const balancer = new Balancer(this.#vms);
		this.#balancer = balancer;
		const endAt = getSharedTime() + maxWaitMs;
		while (!balancer.areAllReady() && getSharedTime() < endAt) {
			await delay(pollIntervalMs);
		}

		await Promise.all(this.#vms.map(async vm => this.#waitUntilServed(vm, maxWaitMs)));
		for (let position = 0; position < callerCount + patientCallerCount; position++) {
			this.#callers.push(new Caller({
				name: position.toString(16).padStart(3, '0'), dataCenter: dataCenters[position % dataCenters.length]!, balancer, random: createSeededRandom((seed * 1000) + position),
				meanPauseMs: meanCallerPauseMs, isPatient: position >= callerCount, lateAnswerMs: linkFaultCount + leavingCount > 0 ? 0 : undefined,
				longShare: leavingCount > 0 ? longJobShare : 0, largeShare: largeJobShare, onSubmission: submission => this.#submissions.push(submission),
			}));
		}
	}

	/** Injects the faults of a series and waits for normal service. */
	async #runSeries(series: number, lengthMs: number): Promise<void> {
		const {seed, vmCount, dataCenters, upstreamsPerDataCenter, linkFaultCount, restartCount, leavingCount} = this.#options;
		const plan = createFaultPlan({
			seed, series, vmCount, upstreamCount: dataCenters.length * upstreamsPerDataCenter, lengthMs, linkFaultCount, restartCount, leavingCount, dataCenterCount: dataCenters.length,
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
			this.#recoveries.push({vm: vm.getName(), from, servedAt: await this.#waitUntilServed(vm, maxRecoveryMs)});
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

			case 'processor-slices': {
				const periodMs = sliceMs + minSliceGapMs + (this.#random.getFloat() * sliceGapRangeMs);
				return vm.starve(fault.durationMs, sliceMs / periodMs, periodMs, fault.kind);
			}

			case 'callers-leave': {
				return this.#letCallersLeave(vm, fault.durationMs);
			}

			case 'store-partly': {
				return this.#cutFromStore(fault);
			}

			case 'processor-late':
			case 'callers-reset':
			case 'link-reset':
			case 'link-silent':
			case 'link-one-way':
			case 'link-slow': {
				return this.#injectIntoLinks(fault, fault.kind);
			}

			case 'store-away':
			case 'store-silent':
			case 'store-slow':
			case 'store-loses-answers':
			case 'store-forgets':
			case 'orders-late':
			case 'answers-lost':
			case 'upstream-slow':
			case 'stops-slow':
			case 'single-orders-late':
			case 'upstream-crash':
			case 'odd-answers':
			case 'odd-entries':
			case 'answers-overtake':
			case 'two-lives':
			case 'deadly-jobs':
			case 'capacity-shrinks': {
				return this.#injectIntoStandIns({...fault, kind: fault.kind});
			}
		}
	}

	async #injectIntoLinks(fault: PlannedFault, kind: LinkFaultKind | 'processor-late' | 'callers-reset'): Promise<void> {
		if (kind === 'callers-reset') {
			this.#resetCallers(fault);
			return;
		}

		if (kind === 'processor-late') {
			const share = minProcessorShare + (this.#random.getFloat() * processorShareRange);
			await this.#vms[fault.target % this.#vms.length]!.starve(fault.durationMs, share, minStarvedPeriodMs + (this.#random.getFloat() * starvedPeriodRangeMs));
			return;
		}

		await this.#disturbLinks(fault, kind);
	}

	/** Lets the callers that wait for a VM leave one after another, often those whose requests came last. */
	async #letCallersLeave(vm: VmProcess, durationMs: number): Promise<void> {
		const at = getSharedTime();
		while (getSharedTime() - at < durationMs) {
			await delay(this.#random.getFloat() * maxLeavingPauseMs);
			const waiting = this.#callers.filter(caller => caller.getWaitingSince(vm) !== undefined);
			const byArrival = waiting.toSorted((a, b) => b.getWaitingSince(vm)! - a.getWaitingSince(vm)!);
			byArrival[Math.floor(this.#random.getFloat() * this.#random.getFloat() * byArrival.length)]?.resetConnection();
		}

		this.#faults.push({
			kind: 'callers-leave', target: vm.getName(), at, until: getSharedTime(),
		});
	}

	/** Cuts some VMs off the store; in half of the cases, the entries of half of the upstreams expire meanwhile. */
	async #cutFromStore({target, count, durationMs, isLapsing}: PlannedFault): Promise<void> {
		const links = this.#links!;
		const at = getSharedTime();
		const storePosition = this.#vms.length;
		const positions = Array.from({length: count}, (_, index) => (target + index) % this.#vms.length);
		const setHeld = (isHeld: boolean): void => {
			for (const position of positions) {
				links.hold(position, storePosition, isHeld);
				links.hold(storePosition, position, isHeld);
			}
		};

		setHeld(true);
		if (isLapsing) {
			await this.#standIns.send({kind: 'store', faults: {}, isLapsing: true});
		}

		await delay(durationMs);
		setHeld(false);
		if (isLapsing) {
			await this.#standIns.send({kind: 'relist'});
		}

		this.#faults.push({
			kind: 'store-partly', target: positions.map(position => this.#vms[position]!.getName()).join(' '), at, until: getSharedTime(),
		});
	}

	/** Resets the connections of some callers. */
	#resetCallers({isLapsing}: PlannedFault): void {
		const at = getSharedTime();
		for (const caller of this.#callers) {
			if (isLapsing || this.#random.getFloat() < 0.3) {
				caller.resetConnection();
			}
		}

		this.#faults.push({
			kind: 'callers-reset', target: '', at, until: getSharedTime(),
		});
	}

	/** Disturbs the link of a VM to another one, or all of its links. */
	async #disturbLinks({target, count, durationMs, isLapsing}: PlannedFault, kind: LinkFaultKind): Promise<void> {
		const links = this.#links!;
		const at = getSharedTime();
		const vmCount = this.#vms.length;
		const vm = target % vmCount;
		const others = [...this.#vms.keys()].filter(position => position !== vm && (isLapsing || position === (vm + count) % vmCount));
		for (const other of others) {
			if (kind === 'link-reset') {
				links.reset(vm, other);
			} else if (kind === 'link-slow') {
				const delayMs = this.#random.getFloat() * maxLinkDelayMs;
				links.delay(vm, other, delayMs);
				links.delay(other, vm, delayMs);
			} else {
				links.hold(vm, other, true);
				links.hold(other, vm, kind === 'link-silent');
			}
		}

		await delay(kind === 'link-reset' ? 0 : durationMs);
		for (const other of others) {
			for (const [from, to] of [[vm, other], [other, vm]] as const) {
				links.hold(from, to, false);
				links.delay(from, to, 0);
			}
		}

		this.#faults.push({
			kind, target: `${this.#vms[vm]!.getName()} ${isLapsing ? 'all' : this.#vms[others[0]!]!.getName()}`, at, until: getSharedTime(),
		});
	}

	async #injectIntoStandIns(fault: StandInFault): Promise<void> {
		const at = getSharedTime();
		const {begin, end} = getStandInCommands(fault);
		await this.#standIns.send(begin);
		await delay(fault.durationMs);
		await Promise.all(end.map(async command => this.#standIns.send(command)));
		this.#faults.push({
			kind: fault.kind, target: `${fault.target} ${fault.count}`, at, until: getSharedTime(),
		});
	}

	/**
	 * Submits jobs to a VM until it has completed some in a row.
	 * @param vm - VM to probe.
	 * @param limitMs - Longest wait in milliseconds, without stalls of the stand-ins.
	 * @returns Time at which the VM served normally, or `undefined` when it did not in time.
	 */
	async #waitUntilServed(vm: VmProcess, limitMs: number): Promise<number | undefined> {
		const client = new Client(vm.getCallerUrl());
		const kind = jobKinds[2]!;
		const recovery = {vm: vm.getName(), from: getSharedTime(), servedAt: undefined};
		try {
			let servedInRow = 0;
			while (getSharedTime() < Math.min(recovery.from + maxWaitMs, getRecoveryStart(recovery, await this.#standIns.getStalls()) + limitMs)) {
				this.#probeCount++;
				const job = `2f${this.#probeCount.toString(16).padStart(14, '0')}`;
				const sentAt = getSharedTime();
				const result = await submitJob(client, job, kind);
				this.#submissions.push({
					job, taskCount: kind.taskCount, vm: vm.getName(), sentAt, endedAt: getSharedTime(), ...result,
				});
				servedInRow = result.state === 'completed' ? servedInRow + 1 : 0;
				if (servedInRow === requiredServedJobs) {
					return getSharedTime();
				}

				await delay(pollIntervalMs);
			}

			return undefined;
		} finally {
			await client.destroy();
		}
	}

	async #getHistory(): Promise<SoakHistory> {
		return {
			sends: [...this.#submissions],
			...await this.#standIns.getHistory(),
			faults: [...this.#faults, ...await this.#standIns.getStalls()],
			ends: [...this.#processEnds],
			recoveries: [...this.#recoveries],
		};
	}
}

/** Gets the commands that begin and end a fault of the store or of upstreams. */
export function getStandInCommands({kind, target, count, durationMs, isLapsing}: StandInFault): {readonly begin: StandInCommand; readonly end: readonly StandInCommand[]} {
	const positions = Array.from({length: count}, (_, index) => target + index);
	const store = (faults: Partial<StoreFaults>, lapses = false): StandInCommand => ({kind: 'store', faults, isLapsing: lapses});
	const upstreams = (faults: UpstreamFaults): StandInCommand => ({kind: 'upstreams', positions, faults});
	switch (kind) {
		case 'store-away': {
			return {begin: store({refusal: 503}, isLapsing), end: [store({refusal: false}), {kind: 'relist'}]};
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

		case 'stops-slow': {
			return {begin: upstreams({stopMs: maxStopMs}), end: [upstreams({stopMs: 0})]};
		}

		case 'single-orders-late': {
			return {begin: upstreams({lateMs: durationMs, lateShare: lateOrderShare}), end: [upstreams({lateMs: 0})]};
		}

		case 'upstream-slow': {
			return {begin: upstreams({slowness: 5}), end: [upstreams({slowness: 1})]};
		}

		case 'upstream-crash': {
			return {begin: {kind: 'crash', positions}, end: [{kind: 'restart', positions}]};
		}

		case 'odd-answers': {
			return {begin: upstreams({hasOddAnswers: true}), end: [upstreams({hasOddAnswers: false})]};
		}

		case 'odd-entries': {
			return {begin: {kind: 'overwrite-entries', positions}, end: [{kind: 'restore-entries', positions}]};
		}

		case 'answers-overtake': {
			return {begin: upstreams({maxAnswerDelayMs}), end: [upstreams({maxAnswerDelayMs: 0})]};
		}

		case 'deadly-jobs': {
			return {begin: {kind: 'deadly-jobs', mode: isLapsing ? 'all-tasks' : 'one-task'}, end: [{kind: 'deadly-jobs', mode: 'off'}]};
		}

		case 'capacity-shrinks': {
			return {begin: {kind: 'capacity', positions, isShrunk: true}, end: [{kind: 'capacity', positions, isShrunk: false}]};
		}

		case 'two-lives': {
			return {
				begin: {
					kind: 'start-again', positions, formerLifeMs: durationMs, isFormerReachable: !isLapsing,
				}, end: [],
			};
		}
	}
}

/** Gets a loopback address derived from the process id, so that concurrent soaks do not share one. */
function getIp(position: number): string {
	return `127.${64 + (process.pid % 64)}.${Math.floor(process.pid / 64) % 256}.${1 + position}`;
}

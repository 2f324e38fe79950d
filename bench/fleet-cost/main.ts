/**
 * `npm run fleet-cost -- --vms 40 --rate 100 --seconds 20`: processor time, calls and log lines of a job among many entry VMs, without faults.
 * `--warm-up 0 --windows 4` counts the first jobs of new processes, and later ones apart.
 */
import {
	closeSync, mkdtempSync, openSync, readdirSync, readFileSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Command} from 'commander';
import {request} from 'undici';
import {createSeededRandom} from '../../src/seams/index.js';
import {Balancer} from '../soak-processes/balancer.js';
import {Caller} from '../soak-processes/caller.js';
import {type Submission} from '../soak-processes/history.js';
import {jobKinds} from '../soak-processes/jobs.js';
import {StandInProcess} from '../soak-processes/stand-in-process.js';
import {VmProcess} from '../soak-processes/vm-process.js';

/** Totals over all VMs. */
type Totals = {
	readonly cpuMs: number;
	readonly kernelMs: number;
	readonly logLines: number;
	readonly submissions: number;
	readonly starts: number;
	/** Sums of the VMs' counters, by name. */
	readonly counters: ReadonlyMap<string, number>;
};

const clockTickMs = 10;
const dataCenters = ['dc1', 'dc2', 'dc3'];
const metricsPort = 9464;
const readyPollMs = 200;

/** The kinds whose tasks fit into one pool. */
const kinds = jobKinds.slice(0, 3);

const program = new Command('fleet-cost')
	.option('--vms <count>', 'entry VMs', '40')
	.option('--upstreams <count>', 'upstreams of each data centre', '80')
	.option('--callers <count>', 'callers', '120')
	.option('--rate <jobs>', 'jobs a second of all callers, if answers took no time', '100')
	.option('--warm-up <seconds>', 'time before the measured one', '5')
	.option('--seconds <seconds>', 'measured time of each window', '20')
	.option('--windows <count>', 'windows measured one after the other', '1')
	.option('--profile <folder>', 'folder for processor profiles')
	.parse();
const options = program.opts<Readonly<Record<'vms' | 'upstreams' | 'callers' | 'rate' | 'warmUp' | 'seconds' | 'windows', string>> & {readonly profile?: string}>();
const folder = mkdtempSync(path.join(tmpdir(), 'endivemill-fleet-cost-'));
const worldLog = openSync(path.join(folder, 'world.log'), 'a');
const world = new StandInProcess({
	dataCenters, upstreamsPerDataCenter: Number(options.upstreams), areUpstreamsGuarded: true, logFile: worldLog,
});
closeSync(worldLog);
const storeAddress = await world.getStoreAddress();
const ips = Array.from({length: Number(options.vms)}, (_, position) => `127.${64 + (process.pid % 64)}.${Math.floor(process.pid / 64) % 256}.${1 + position}`);
const vms = ips.map((ip, position) => new VmProcess({
	name: `edge-${dataCenters[position % dataCenters.length]!}-${Math.floor(position / dataCenters.length)}`,
	dataCenter: dataCenters[position % dataCenters.length]!,
	dataCenters,
	ip,
	seedIps: ips.slice(0, 3),
	storeAddress,
	folder,
	runtimeArguments: options.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${options.profile}`],
	onEnd({vm, wasTold, how}) {
		if (!wasTold) {
			process.stderr.write(`${vm} ended: ${how}\n`);
			process.exitCode = 1;
		}
	},
	onFault() {/* There are no faults but the end. */},
}));

function readCpuMs(): {readonly cpuMs: number; readonly kernelMs: number} {
	let userTicks = 0;
	let kernelTicks = 0;
	for (const vm of vms) {
		const fields = readFileSync(`/proc/${vm.getProcessId()}/stat`, 'utf8').split(') ')[1]!.split(' ');
		userTicks += Number(fields[11]);
		kernelTicks += Number(fields[12]);
	}

	return {cpuMs: (userTicks + kernelTicks) * clockTickMs, kernelMs: kernelTicks * clockTickMs};
}

function countLogLines(): number {
	return readdirSync(folder).filter(name => name.endsWith('.log') && name !== 'world.log').reduce((sum, name) => sum + readFileSync(path.join(folder, name), 'utf8').split('\n').length - 1, 0);
}

async function readCounters(): Promise<ReadonlyMap<string, number>> {
	const counters = new Map<string, number>();
	const texts = await Promise.all(ips.map(async ip => {
		const res = await request(`http://${ip}:${metricsPort}/metrics`);
		return res.body.text();
	}));
	for (const [, name, value] of texts.join('\n').matchAll(/^(?<name>\w+_total)(?:\{.*\})? (?<value>\d+)$/gmv)) {
		counters.set(name!, (counters.get(name!) ?? 0) + Number(value));
	}

	return counters;
}

const submissions: Submission[] = [];

async function getTotals(): Promise<Totals> {
	const {runs} = await world.getHistory();
	return {
		...readCpuMs(), logLines: countLogLines(), submissions: submissions.length, starts: runs.length, counters: await readCounters(),
	};
}

function printCosts(before: Totals, after: Totals): void {
	const jobs = after.submissions - before.submissions;
	const served = submissions.slice(before.submissions, after.submissions).filter(({state}) => state === 'completed').length;
	const seconds = Number(options.seconds);
	const perJob = (value: number): string => (value / jobs).toFixed(2);
	const perVmSecond = (value: number): string => (value / seconds / vms.length).toFixed(1);
	process.stdout.write(`${jobs} jobs (${served} completed), ${perJob(after.starts - before.starts)} starts a job\n`);
	process.stdout.write(`${perJob(after.cpuMs - before.cpuMs)} ms a job, ${perJob(after.kernelMs - before.kernelMs)} of them in the kernel; `);
	process.stdout.write(`${((after.cpuMs - before.cpuMs) / seconds / vms.length / 1000).toFixed(3)} of a core a VM\n`);
	process.stdout.write(`${perJob(after.logLines - before.logLines)} log lines a job\n`);
	for (const [name, value] of after.counters) {
		process.stdout.write(`${perJob(value - (before.counters.get(name) ?? 0))} ${name} a job, ${perVmSecond(value - (before.counters.get(name) ?? 0))} a VM and second\n`);
	}
}

for (const vm of vms) {
	vm.start();
}

const balancer = new Balancer(vms);
while (!balancer.areAllReady()) {
	await delay(readyPollMs);
}

const started = readCpuMs();
process.stdout.write(`${(started.cpuMs / vms.length).toFixed(0)} ms of processor time a VM until all are ready\n`);
const callerCount = Number(options.callers);
const callers = Array.from({length: callerCount}, (_, position) => new Caller({
	name: position.toString(16).padStart(3, '0'), dataCenter: dataCenters[position % dataCenters.length]!, balancer, random: createSeededRandom(position),
	meanPauseMs: callerCount * 1000 / Number(options.rate), isPatient: false, kinds, onSubmission: submission => submissions.push(submission),
}));
const done = Promise.all(Number(options.rate) === 0 ? [] : callers.map(async caller => caller.run()));
await delay(Number(options.warmUp) * 1000);
let before = await getTotals();
for (let window = 0; window < Number(options.windows); window++) {
	await delay(Number(options.seconds) * 1000);
	const after = await getTotals();
	printCosts(before, after);
	before = after;
}

balancer.close();
for (const caller of callers) {
	caller.close();
}

await done;
if (options.profile !== undefined) {
	await Promise.all(vms.map(async vm => Promise.race([vm.stop(60_000), delay(15_000)])));
}

world.close();
await Promise.all(vms.map(async vm => vm.close()));
rmSync(folder, {recursive: true});
process.exit(); // eslint-disable-line unicorn/no-process-exit

/**
 * `endivemill demo`: runs a job and a request on a local deployment and checks the guarantees of the dispatcher.
 */
import {type Command} from 'commander';
import {type CallerJob} from '../../lab/call.js';
import {Caller, type SubmitResult} from '../../lab/caller.js';
import {createLocalCluster, type LocalCluster} from '../../lab/local-cluster.js';
import {type Random} from '../../seams/index.js';
import {type CliContext, type CliHost} from '../cli-host.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {OperatorClient} from '../operator-client.js';
import {formatTimeline} from '../timeline-format.js';
import {TimelineCollector} from '../timeline-collector.js';

/** A guarantee and whether it was satisfied. */
type Check = {
	readonly name: string;
	readonly isSatisfied: boolean;
};

const taskCount = 100;
const minRunMs = 20;
const runTimeRangeMs = 80;
const releasePath = '/release';
/** Number of events printed from each end of the timeline. */
const printedEventCount = 8;

/**
 * Adds the command.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the action.
 */
export function addDemoCommand(program: Command, context: CliContext): void {
	const command = program.command('demo')
		.description('run a job of 100 tasks twice and a non-idempotent request twice, and check that each started once');
	context.setAction(command, async () => runDemo(context));
}

async function runDemo({host}: CliContext): Promise<ExitCode> {
	const cluster = await createLocalCluster();
	const caller = new Caller({addresses: cluster.getCallerAddresses(), clock: host.clock, random: host.random});
	const checks = [...await demonstrateJob(host, cluster, caller), ...await demonstrateRequest(host, cluster, caller)];
	await printTimeline(host, cluster);
	await caller.close();
	await cluster.close();
	for (const {name, isSatisfied} of checks) {
		host.writeOut(`${isSatisfied ? 'held  ' : 'BROKEN'} ${name}\n`);
	}

	return checks.every(({isSatisfied}) => isSatisfied) ? exitCodes.success : exitCodes.difference;
}

async function demonstrateJob(host: CliHost, cluster: LocalCluster, caller: Caller): Promise<readonly Check[]> {
	const runTimes = drawRunTimes(host.random);
	const job: CallerJob = {
		service: 'demo',
		tasks: runTimes.map((runMs, index) => ({path: `/hold?chair=${index}`, headers: {'x-run-ms': String(runMs)}})),
	};
	const id = await caller.createId();
	const startedAt = host.clock.getMonotonicTime();
	const first = await caller.submitJob(job, {id});
	const responseMs = host.clock.getMonotonicTime() - startedAt;
	const resubmitted = await caller.submitJob(job, {id});
	const starts = countStarts(cluster);
	const longestTaskMs = Math.max(...runTimes);
	const slots = cluster.getUpstreams().reduce((sum, {listed}) => sum + listed.slots, 0);
	const lowerBoundMs = Math.max(longestTaskMs, runTimes.reduce((sum, runMs) => sum + runMs, 0) / slots);
	host.writeOut(`job of ${taskCount} tasks: ${describeOutcome(first)}; resubmitted through another entry VM: ${describeOutcome(resubmitted)}
starts counted by the upstreams: ${starts}
response ${responseMs.toFixed(0)} ms; longest task ${longestTaskMs} ms; lower bound on ${slots} slots ${lowerBoundMs.toFixed(0)} ms (ratio ${(responseMs / lowerBoundMs).toFixed(2)})
messages between entry VMs per task: ${(countPeerMessages(cluster) / taskCount).toFixed(2)}\n`);
	return [
		{name: `the job is complete with ${taskCount} answers`, isSatisfied: first.answer?.outcome === 'complete' && first.answer.tasks.length === taskCount},
		{name: 'the same job submitted again gets the same answer', isSatisfied: resubmitted.answer?.hash === first.answer?.hash},
		{name: `${taskCount} tasks started ${taskCount} times`, isSatisfied: starts === taskCount},
	];
}

async function demonstrateRequest(host: CliHost, cluster: LocalCluster, caller: Caller): Promise<readonly Check[]> {
	const before = countStarts(cluster);
	const id = await caller.createId();
	const req = {
		service: 'demo', method: 'POST', path: releasePath, isIdempotent: false,
	};
	const [first, second] = await Promise.all([caller.sendRequest(req, {id}), caller.sendRequest(req, {id})]);
	const starts = countStarts(cluster) - before;
	host.writeOut(`non-idempotent request sent twice: ${describeOutcome(first)}, ${describeOutcome(second)}; starts: ${starts}\n`);
	return [{name: 'the non-idempotent request sent twice started once', isSatisfied: starts === 1 && second.answer?.outcome === 'complete'}];
}

async function printTimeline(host: CliHost, cluster: LocalCluster): Promise<void> {
	const client = new OperatorClient();
	const targets = cluster.getEntryVms().map(entryVm => ({name: entryVm.getIncarnation().vm, operatorAddress: entryVm.getOperatorAddress()}));
	const {events} = await new TimelineCollector({targets, client}).getNewEvents();
	await client.close();
	host.writeOut(`timeline, ${events.length} events of ${targets.length} entry VMs:
${formatTimeline(events.slice(0, printedEventCount))}
…
${formatTimeline(events.slice(-printedEventCount))}\n`);
}

function drawRunTimes(random: Random): readonly number[] {
	return Array.from({length: taskCount}, () => minRunMs + Math.floor(random.getFloat() * runTimeRangeMs));
}

function countStarts(cluster: LocalCluster): number {
	return cluster.getUpstreams().reduce((sum, {standIn}) => sum + standIn.getCounts().starts, 0);
}

/** Counts the messages for leases and forwarded requests; heartbeats are left out, as they are sent by time, not by task. */
function countPeerMessages(cluster: LocalCluster): number {
	return cluster.getEntryVms().reduce((sum, entryVm) => sum + entryVm.getStatus().peerTraffic.job.messagesSent + entryVm.getStatus().schedulerCounters.messages, 0);
}

function describeOutcome({answer}: SubmitResult): string {
	return answer === undefined ? 'no answer' : answer.outcome;
}

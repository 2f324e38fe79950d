/**
 * How long after the true end of a task's run the next one starts, by the ground on which its owner took the start for safe.
 */
import {restartMessage} from '../pool/index.js';
import {groupBy} from './group-by.js';

/** Run of a task as its upstream recorded it; without `endedAt` it has not ended. Times are in milliseconds of one clock. */
export type TimedRun = {
	readonly task: string;
	readonly number: number;
	readonly upstream: string;
	readonly startedAt: number;
	readonly endedAt?: number;
	readonly end?: string;
	readonly isEndedByCrash: boolean;
};

/** Log line of a VM; its time is on the clock of the runs. */
export type TimedLine = {readonly at: number; readonly message: string; readonly fields: Readonly<Record<string, unknown>>};

/** What the upstreams, the callers and the owners' logs of a simulation or a soak tell. */
export type RestartRecord<T extends TimedRun = TimedRun> = {
	readonly runs: readonly T[];
	readonly submissions: ReadonlyArray<{readonly job: string; readonly sentAt: number}>;
	readonly logLines: readonly TimedLine[];
};

/** A start of a task that was started before. */
export type RestartGap<T extends TimedRun = TimedRun> = {
	readonly ground: string;
	/** Earlier run that ended last. */
	readonly earlier: T;
	readonly later: T;
	/** Time from the end of the earlier run to the later start, in milliseconds: negative if both ran at the same time, `-Infinity` if the earlier one has not ended. */
	readonly gapMs: number;
	/** Time between the two starts, in milliseconds. */
	readonly apartMs: number;
	/** Whether the earlier run had ended `done` and the caller had not submitted the job again. */
	readonly isAfterDone: boolean;
	/** Minimum of `gapMs` by the design; `undefined` if nothing proves that the later start is safe. */
	readonly minGapMs: number | undefined;
};

/** Fields of the line that an owner logs of a start. */
type RestartFields = {
	readonly task: string;
	readonly run: number;
	readonly upstream?: string;
	readonly pool?: string;
	readonly afterMs: number;
	readonly after?: number;
	/** Upstream of the run `after`; absent if another pool started it. */
	readonly on?: string;
	readonly end?: string;
	readonly grounds?: string;
	readonly refused?: string;
	readonly priorFence?: number;
};

/** Line that an owner logged of a start, with its time on the clock of the runs. */
type OwnerLine = {readonly at: number; readonly fields: RestartFields};

/** Inaccuracy of times in the log, in milliseconds: they are rounded, and a request takes some time from its caller to the VM that dates it. */
const maxClockErrorMs = 50;

/** Longest lease, and the part of it by which owners take it for longer, of which upstreams with the slowest clocks use 1 / 0.98 - 1. */
const maxLeaseMs = 1000;
const leaseErrorRatio = 0.03;
const slowestClockRate = 0.98;
const lapseMarginMs = maxLeaseMs * (1 + leaseErrorRatio - (1 / slowestClockRate));

/** Time between the end of the leases for a caller that may have left and its next submission, less what the slowest clocks add to a lease of 900 ms. */
const resendMarginMs = 150 - (900 * ((1 / slowestClockRate) - 1));

/**
 * Minimum gaps in milliseconds, each from the proof of its ground.
 * - `listed`, `unlisted`: the upstream has listed the end, or a poll that was sent after the order was confirmed no longer lists the run.
 * - `lease-expired`: nothing extended the lease, whose longest duration has passed by the slowest clock.
 * - `lender`: the lender has reported the end, on one of these grounds. `lender-lost`: the lender has stopped it by then.
 * - `moved`: the next owner has polled the pool's upstreams, and the other pools have stopped what the earlier one had lent, or their time limits have passed.
 * - `resent`: leases end 150 ms before the caller submits its job again.
 * - `order-repeated`: an upstream carries out an order twice only if it has crashed between, and its earlier instance ran nothing from then on.
 */
const minGapsMs: Readonly<Record<string, number>> = {
	listed: 0, unlisted: 0, 'lease-expired': lapseMarginMs, lender: 0, 'lender-lost': 0, moved: 0, resent: resendMarginMs, 'order-repeated': 0,
};

/** Longest time from the first send of a start to the last time limit of its answer, with the inaccuracy of the log, in milliseconds. */
const maxOrderMs = (3 * 150) + maxClockErrorMs;

/** Longest time until a lender has the proof of the sender that it needs for a start, in milliseconds. */
const maxLendMs = 600;

/**
 * Gets the starts of tasks that had been started before, in the order of their gaps.
 *
 * The ground has up to three parts: `GROUNDS END REFUSED`, the last only if a further start was refused in between. GROUNDS are those of the end of the
 * owner's latest run, or `moved`: an earlier owner had the job; `resent`: the caller has submitted it again since the earlier start; `order-repeated`: a repeated
 * send of the start was carried out, too; `late-order`: one was carried out after its owner had given it up; `unknown`: none of these.
 * @param record - Record.
 */
export function getRestartGaps<T extends TimedRun>({runs, submissions, logLines}: RestartRecord<T>): ReadonlyArray<RestartGap<T>> {
	const linesByRun = groupBy(logLines.filter(({message}) => message === restartMessage), ({fields}) => `${String(fields.task)}#${String(fields.run)}`);
	const submissionsByJob = groupBy(submissions, ({job}) => job);
	const gaps = [...groupBy(runs, ({task}) => task)].flatMap(([task, runsOfTask]) => {
		const sorted = runsOfTask.toSorted((a, b) => a.startedAt - b.startedAt);
		return sorted.slice(1).map((later, position) => {
			const earlier = getLastEnded(sorted.slice(0, position + 1));
			const sentAt = getLastSentAt(submissionsByJob.get(task.split('.')[0]!) ?? [], later);
			const line = getLine(linesByRun.get(`${task}#${later.number}`) ?? [], later, sentAt);
			const isResent = sentAt > earlier.startedAt;
			const isRepeated = sorted.slice(0, position + 1).some(({number, upstream}) => number === later.number && upstream === later.upstream);
			const [proof, ...details] = getGround({
				earlier, later, line, isResent, isRepeated,
			});
			return {
				ground: [proof, ...details].join(' '), earlier, later, gapMs: later.startedAt - getEnd(earlier), apartMs: later.startedAt - earlier.startedAt,
				isAfterDone: earlier.end === 'done' && !isResent, minGapMs: minGapsMs[proof],
			};
		});
	});
	return gaps.toSorted((a, b) => a.gapMs - b.gapMs);
}

/**
 * Gets the gaps that are shorter than their grounds allow, and those without a proof.
 * @param gaps - Gaps.
 */
export function findShortGaps<T extends RestartGap>(gaps: readonly T[]): readonly T[] {
	return gaps.filter(({gapMs, minGapMs}) => minGapMs === undefined || gapMs < minGapMs);
}

/** Gaps of one ground; times are in milliseconds. */
export type RestartSummary = {
	readonly ground: string;
	readonly count: number;
	readonly leastMs: number;
	readonly firstPercentMs: number;
	readonly medianMs: number;
	/** Number of starts after a run that had ended `done`, without another submission between. */
	readonly afterDoneCount: number;
	readonly minGapMs: number | undefined;
};

/**
 * Gets a summary of the gaps of each ground, the most frequent one first.
 * @param gaps - Gaps.
 */
export function getRestartSummaries(gaps: readonly RestartGap[]): readonly RestartSummary[] {
	return [...groupBy(gaps, ({ground}) => ground)].map(([ground, gapsOfGround]) => {
		const sorted = gapsOfGround.toSorted((a, b) => a.gapMs - b.gapMs);
		const getQuantile = (share: number): number => sorted[Math.floor(share * (sorted.length - 1))]!.gapMs;
		return {
			ground, count: sorted.length, leastMs: getQuantile(0), firstPercentMs: getQuantile(0.01), medianMs: getQuantile(0.5),
			afterDoneCount: sorted.filter(({isAfterDone}) => isAfterDone).length, minGapMs: sorted[0]!.minGapMs,
		};
	}).toSorted((a, b) => b.count - a.count);
}

/**
 * Describes a gap on one line.
 * @param gap - Gap.
 */
export function describeGap({ground, earlier, later, gapMs, apartMs, minGapMs}: RestartGap): string {
	const describeRun = ({number, upstream, end, isEndedByCrash}: TimedRun): string => `run ${number} on ${upstream} (${isEndedByCrash ? 'crash' : end ?? 'running'})`;
	const bound = minGapMs === undefined ? 'without proof' : `of at least ${formatMs(minGapMs)}`;
	const times = `${formatMs(gapMs)} ms ${bound}, starts ${formatMs(apartMs)} ms apart, at ${formatMs(later.startedAt)}`;
	return `${later.task}: ${ground}, ${times}: ${describeRun(earlier)}, ${describeRun(later)}`;
}

/**
 * Describes the gaps of each ground on one line.
 * @param gaps - Gaps.
 */
export function describeRestartGaps(gaps: readonly RestartGap[]): readonly string[] {
	return getRestartSummaries(gaps).map(({ground, count, leastMs, firstPercentMs, medianMs, afterDoneCount, minGapMs}) => {
		const bound = minGapMs === undefined ? 'no proof' : `bound ${formatMs(minGapMs)}`;
		const afterDone = afterDoneCount > 0 ? `, ${afterDoneCount} after a run that was done` : '';
		return `${ground}: ${count}, least ${formatMs(leastMs)}, 1% ${formatMs(firstPercentMs)}, median ${formatMs(medianMs)} ms, ${bound}${afterDone}`;
	});
}

function formatMs(ms: number): string {
	return String(Math.round(ms * 10) / 10);
}

function getEnd({endedAt = Infinity}: TimedRun): number {
	return endedAt;
}

function getLastEnded<T extends TimedRun>(runs: readonly T[]): T {
	return runs.toSorted((a, b) => getEnd(a) < getEnd(b) ? -1 : 1).at(-1)!;
}

/** Gets the time of the last submission before a start. */
function getLastSentAt(submissions: RestartRecord['submissions'], {startedAt}: TimedRun): number {
	return Math.max(-Infinity, ...submissions.map(({sentAt}) => sentAt).filter(sentAt => sentAt <= startedAt));
}

/** Gets the line that an owner logged of a start since the last submission; `undefined` if there is none. */
function getLine(lines: readonly TimedLine[], {startedAt, upstream}: TimedRun, sentAt: number): OwnerLine | undefined {
	const isOfStart = ({at, fields}: TimedLine): boolean => at >= sentAt - maxClockErrorMs && at <= startedAt + maxClockErrorMs && (fields.upstream ?? upstream) === upstream;
	const line = lines.filter(line => isOfStart(line)).toSorted((a, b) => a.at - b.at).at(-1);
	return line && {at: line.at, fields: line.fields as RestartFields};
}

type GroundOptions = {
	readonly earlier: TimedRun;
	readonly later: TimedRun;
	readonly line: OwnerLine | undefined;
	/** Whether the caller has submitted the job again between the starts. */
	readonly isResent: boolean;
	/** Whether the upstream has carried out a start with this number before. */
	readonly isRepeated: boolean;
};

function getGround(options: GroundOptions): readonly [proof: string, ...details: string[]] {
	const {earlier, later, line, isResent, isRepeated} = options;
	if (line !== undefined && later.startedAt - line.at > maxOrderMs + (line.fields.pool === undefined ? 0 : maxLendMs)) {
		return ['late-order'];
	}

	const refusal = line?.fields.refused === undefined ? [] : [line.fields.refused];
	const ownGround = line && getOwnGround(earlier, line);
	if (ownGround !== undefined) {
		return [...ownGround, ...refusal];
	}

	if (isResent) {
		return ['resent', ...refusal];
	}

	if (!isRepeated) {
		return ['unknown', ...refusal];
	}

	const isLast = earlier.number === later.number && earlier.upstream === later.upstream;
	return [isLast && later.startedAt - earlier.startedAt <= maxOrderMs ? 'order-repeated' : 'late-order'];
}

/** Gets the ground on which an owner logged a start; `undefined` if the earlier run belongs to another submission, which that owner does not know. */
function getOwnGround(earlier: TimedRun, {at, fields}: OwnerLine): readonly [proof: string, ...details: string[]] | undefined {
	const {grounds, end = '', after = 0, priorFence = 0, afterMs} = fields;
	if (earlier.startedAt < at - afterMs - maxClockErrorMs) {
		return undefined;
	}

	// The runs of another owner may have higher numbers, or the same ones elsewhere.
	if (grounds !== undefined && earlier.number <= after && isKnownRun(earlier, fields)) {
		return [grounds, end];
	}

	return priorFence > 0 ? ['moved'] : undefined;
}

/** Gets whether an owner knows the end of a run: it is the run of the line, on the same upstream and with the end that was listed, or an earlier one. */
function isKnownRun({number, upstream, end}: TimedRun, {after, on = upstream, grounds, end: knownEnd}: RestartFields): boolean {
	return number !== after || (upstream === on && (grounds !== 'listed' || end === knownEnd));
}

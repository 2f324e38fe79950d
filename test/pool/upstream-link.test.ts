/**
 * A link to one upstream whose answers the test gives.
 */
import test from 'ava';
import {
	defaultUpstreamLinkTiming, type EndGrounds, getMaxStopMs, type LinkedRun, type OrderOutcome, type PollOutcome, type RunEnd, UpstreamLink, type UpstreamOrders,
} from '../../src/pool/index.js';
import {ManualClock} from '../../src/testing/manual-clock.js';
import {createUpstream, typicalWork} from './pool-harness.js';

/** Order that waits for its answer, until its time limit. */
type SentOrder<O, T> = {readonly options: O; readonly answer: (outcome: T) => Promise<void>};

type Sent<K extends keyof UpstreamOrders, T> = Array<SentOrder<Parameters<UpstreamOrders[K]>[0], T>>;

type SeenOutcome = Extract<PollOutcome, {readonly kind: 'seen'}>;

const unanswered = {kind: 'unanswered', detail: 'no answer'} as const;

function createRun(task: string): Parameters<UpstreamLink['start']>[0] {
	return {
		task, number: 1, needs: typicalWork.needs, spec: 'work',
	};
}

/** Link under test, with the orders that it sent and the events that it reported. */
class LinkFixture {
	readonly clock = new ManualClock();
	readonly polls: Sent<'poll', PollOutcome> = [];
	readonly starts: Sent<'startRun', OrderOutcome> = [];
	readonly stops: Sent<'stopRun', OrderOutcome> = [];
	readonly ended: Array<readonly [string, RunEnd, EndGrounds]> = [];
	readonly refused: string[] = [];
	readonly signs: Array<readonly [sign: string, tasks: readonly string[]]> = [];
	/** Tasks of the signs under which one ran alone. */
	readonly aloneTasks: string[] = [];
	readonly link: UpstreamLink;

	constructor() {
		this.link = new UpstreamLink(createUpstream('u0', 16_000), {
			clock: this.clock,
			orders: {
				poll: async options => this.#send(this.polls, options),
				startRun: async options => this.#send(this.starts, options),
				stopRun: async options => this.#send(this.stops, options),
			},
			getFence: () => 1,
			maxLeaseMs: 1000,
			events: {
				onRunEnded: (_link, run, end, grounds) => {
					this.ended.push([run.task, end, grounds]);
				},
				onRunRefused: (_link, run) => {
					this.refused.push(run.task);
				},
				onChange() {/* Not observed. */},
				onFenced() {/* Not observed. */},
				onSilenceChanged() {/* Not observed. */},
				onInstanceChanged() {/* Not observed. */},
				onInstanceSign: (_link, sign, runs, isAlone) => {
					this.signs.push([sign, runs.map(({task}) => task)]);
					this.aloneTasks.push(...isAlone ? runs.map(({task}) => task) : []);
				},
				onUnclaimedRun() {/* Not observed. */},
			},
		});
	}

	/** Starts to poll and answers the first poll. */
	async open(): Promise<void> {
		void this.link.pollUntilClosed();
		await this.clock.advance(1);
		await this.polls[0]!.answer(this.createSeen());
	}

	/** Starts a run that the upstream confirms. */
	async startRun(task: string): Promise<LinkedRun> {
		const run = this.link.start(createRun(task));
		await this.clock.advance(1);
		await this.starts.at(-1)!.answer(this.createDone());
		await this.clock.advance(1);
		return run;
	}

	createDone(): OrderOutcome {
		return {kind: 'done', upstreamTimeMs: this.clock.getMonotonicTime()};
	}

	createSeen(options: Partial<SeenOutcome> = {}): PollOutcome {
		return {
			kind: 'seen', bornMs: 1, upstreamTimeMs: this.clock.getMonotonicTime(), running: [], ended: [], isEndListComplete: true, ...options,
		};
	}

	async #send<O extends {readonly timeoutMs: number}, T extends PollOutcome | OrderOutcome>(sent: Array<SentOrder<O, T>>, options: O): Promise<T | typeof unanswered> {
		return new Promise(resolve => {
			const timer = this.clock.setTimer(() => {
				resolve(unanswered);
			}, options.timeoutMs);
			sent.push({
				options,
				answer: async outcome => {
					timer.close();
					resolve(outcome);
					await this.clock.advance(0);
				},
			});
		});
	}
}

test('an answer of the former instance that arrives after one of the current instance is ignored as a whole', async t => {
	const fixture = new LinkFixture();
	const {link, polls} = fixture;
	await fixture.open();
	await fixture.startRun('a.0.0.0');
	void link.pollImmediately();
	await fixture.clock.advance(1);
	const [, longPoll, shortPoll] = polls;
	await longPoll!.answer(fixture.createSeen({bornMs: 2, running: [{task: 'a.0.0.0', number: 1}]}));
	const {length} = polls;
	const lastPollAt = link.getLastPollAt();
	await shortPoll!.answer(fixture.createSeen({
		running: [{task: 'b.0.0.0', number: 1}],
		ended: [{
			position: 57, task: 'a.0.0.0', number: 1, end: 'lapsed',
		}],
	}));
	t.is(link.description.bornMs, 2);
	t.is(link.getUnclaimedCount(), 0);
	t.is(link.getLastPollAt(), lastPollAt);
	t.deepEqual(fixture.ended, []);
	await polls[length - 1]!.answer(fixture.createSeen({bornMs: 2, running: [{task: 'a.0.0.0', number: 1}]}));
	t.is(polls.at(-1)!.options.acknowledged, 0);
	link.close();
});

test('a run that is missing in an incomplete list of ends has not ended', async t => {
	const fixture = new LinkFixture();
	const {link, polls} = fixture;
	await fixture.open();
	await fixture.startRun('a.0.0.0');
	const ends = [1, 2].map(position => ({
		position, task: `c.0.0.${position}`, number: 1, end: 'done' as const,
	}));
	await polls.at(-1)!.answer(fixture.createSeen({running: [{task: 'b.0.0.0', number: 1}]}));
	await polls.at(-1)!.answer(fixture.createSeen({ended: ends, isEndListComplete: false}));
	t.deepEqual(fixture.ended, []);
	t.is(link.getUnclaimedCount(), 1);
	await fixture.clock.advance(1);
	await polls.at(-1)!.answer(fixture.createSeen({
		ended: ['a', 'b'].map((job, index) => ({
			position: 3 + index, task: `${job}.0.0.0`, number: 1, end: 'done',
		})),
	}));
	t.deepEqual(fixture.ended, [['a.0.0.0', 'done', 'listed']]);
	t.is(link.getRecentEnd('b.0.0.0')?.end, 'done');
	link.close();
});

test('ends are not acknowledged to an upstream that may have restarted', async t => {
	const fixture = new LinkFixture();
	const {link, polls} = fixture;
	await fixture.open();
	await polls.at(-1)!.answer(fixture.createSeen({
		ended: [{
			position: 57, task: 'a.0.0.0', number: 1, end: 'done',
		}],
	}));
	t.is(polls.at(-1)!.options.acknowledged, 57);
	const {idlePollWaitMs, answerTimeoutMs} = defaultUpstreamLinkTiming;
	await fixture.clock.advance(idlePollWaitMs + answerTimeoutMs);
	t.is(polls.at(-1)!.options.acknowledged, 0);
	await polls.at(-1)!.answer(fixture.createSeen());
	t.is(polls.at(-1)!.options.acknowledged, 57);
	link.start(createRun('b.0.0.0'));
	await fixture.clock.advance(answerTimeoutMs);
	t.is(polls.at(-1)!.options.acknowledged, 0);
	link.close();
});

for (const reason of ['wrong-instance', 'invalid', 'unhealthy', 'late', 'no-room', 'fenced'] as const) {
	test(`after an unanswered attempt, the refusal ${reason} does not prove that a run has not started`, async t => {
		const fixture = new LinkFixture();
		const {link, polls, starts} = fixture;
		await fixture.open();
		const run = link.start(createRun('a.0.0.0'));
		const {answerTimeoutMs} = defaultUpstreamLinkTiming;
		await fixture.clock.advance(answerTimeoutMs + 1);
		t.is(starts.length, 2);
		await starts[1]!.answer({kind: 'refused', reason});
		t.deepEqual(fixture.refused, []);
		t.is(run.state, 'lost');
		await polls.at(-1)!.answer(fixture.createSeen({
			ended: [{
				position: 1, task: 'a.0.0.0', number: 1, end: 'done',
			}],
		}));
		t.deepEqual(fixture.ended, [['a.0.0.0', 'done', 'listed']]);
		link.close();
	});
}

test('starts that are refused together are followed by one poll', async t => {
	const fixture = new LinkFixture();
	const {link, polls, starts} = fixture;
	await fixture.open();
	for (const round of [0, 1]) {
		const {length} = polls;
		const tasks = [0, 1, 2].map(index => `a.${round}.0.${index}`);
		for (const task of tasks) {
			link.start(createRun(task));
		}

		await fixture.clock.advance(1);
		for (const {answer} of starts.splice(0)) {
			await answer({kind: 'refused', reason: 'no-room'});
		}

		t.deepEqual(fixture.refused.splice(0), tasks);
		t.is(polls.length, length + 1);
		t.is(polls[length]!.options.waitMs, 0);
		await polls[length]!.answer(fixture.createSeen());
	}

	link.close();
});

test('orders that are left unanswered together share the poll that shows whether the upstream is silent', async t => {
	const fixture = new LinkFixture();
	const {link, polls} = fixture;
	await fixture.open();
	const {answerTimeoutMs} = defaultUpstreamLinkTiming;
	for (const isAnswered of [true, false]) {
		const {length} = polls;
		for (const index of [0, 1, 2]) {
			link.start(createRun(`${isAnswered ? 'a' : 'b'}.0.0.${index}`));
		}

		await fixture.clock.advance(answerTimeoutMs + 1);
		t.is(polls.slice(length).filter(({options}) => options.waitMs === 0).length, 1);
		await (isAnswered ? polls.at(-1)!.answer(fixture.createSeen()) : fixture.clock.advance(answerTimeoutMs));

		t.is(link.isSilent(), !isAnswered);
	}

	link.close();
});

test('after an unanswered attempt, a refused connection does not prove that a run has not started', async t => {
	const fixture = new LinkFixture();
	const {link, starts} = fixture;
	await fixture.open();
	const run = link.start(createRun('a.0.0.0'));
	await fixture.clock.advance(defaultUpstreamLinkTiming.answerTimeoutMs + 1);
	t.is(starts.length, 2);
	await starts[1]!.answer({kind: 'unanswered', detail: 'connection refused', isRefused: true});
	t.deepEqual(fixture.refused, []);
	t.not(run.state, 'running');
	link.close();
});

/** Advances the clock and answers all polls and, if requested, all stops. */
async function answerPolls(fixture: LinkFixture, durationMs: number, createAnswer: () => PollOutcome, areStopsAnswered = false): Promise<void> {
	const until = fixture.clock.getMonotonicTime() + durationMs;
	while (fixture.clock.getMonotonicTime() < until) {
		await fixture.clock.advance(10);
		for (const {answer} of areStopsAnswered ? fixture.stops.splice(0) : []) {
			await answer(fixture.createDone());
		}

		for (const {answer} of fixture.polls.splice(0)) {
			await answer(createAnswer());
		}
	}
}

test('a run ends only after its lease if a new instance of its upstream does not list it', async t => {
	const fixture = new LinkFixture();
	const {link, polls, stops} = fixture;
	await fixture.open();
	await fixture.startRun('a.0.0.0');
	const createAnswer = (): PollOutcome => fixture.createSeen({bornMs: 2});
	await polls.at(-1)!.answer(createAnswer());
	await stops[0]!.answer(fixture.createDone());
	const {leaseMs} = defaultUpstreamLinkTiming;
	await answerPolls(fixture, leaseMs, createAnswer);
	t.deepEqual(fixture.ended, []);
	t.true(link.isAcceptingStarts());
	await answerPolls(fixture, getMaxStopMs(1000) - leaseMs, createAnswer);
	t.deepEqual(fixture.ended, [['a.0.0.0', 'stopped', 'unlisted']]);
	t.is(stops.length, 1);
	link.close();
});

test('a run whose start was not answered is stopped at a new instance of its upstream before it counts as ended', async t => {
	const fixture = new LinkFixture();
	const {link, starts, polls} = fixture;
	await fixture.open();
	link.start(createRun('a.0.0.0'));
	await fixture.clock.advance(1);
	const createAnswer = (): PollOutcome => fixture.createSeen({bornMs: 2});
	await polls.at(-1)!.answer(createAnswer());
	await answerPolls(fixture, 2000, createAnswer);
	t.is(starts.length, 1);
	t.deepEqual(fixture.ended, []);
	const {answerTimeoutMs, busyPollWaitMs} = defaultUpstreamLinkTiming;
	await answerPolls(fixture, busyPollWaitMs + answerTimeoutMs, createAnswer, true);
	t.deepEqual(fixture.ended, [['a.0.0.0', 'stopped', 'unlisted']]);
	link.close();
});

test('a stop that the former instance of an upstream confirmed does not count for the new one', async t => {
	const fixture = new LinkFixture();
	const {link, polls, stops} = fixture;
	await fixture.open();
	const run = await fixture.startRun('a.0.0.0');
	link.stop(run);
	await fixture.clock.advance(1);
	const createAnswer = (): PollOutcome => fixture.createSeen({bornMs: 2});
	await polls.at(-1)!.answer(createAnswer());
	await stops[0]!.answer(fixture.createDone());
	await answerPolls(fixture, 2000, createAnswer);
	t.deepEqual(fixture.ended, []);
	link.close();
});

test('the answer of a former instance to an order does not set the clock of the new one', async t => {
	const fixture = new LinkFixture();
	const {link, starts, polls} = fixture;
	await fixture.open();
	link.start(createRun('a.0.0.0'));
	await fixture.clock.advance(1);
	await polls.at(-1)!.answer(fixture.createSeen({bornMs: 2, upstreamTimeMs: 0}));
	await starts[0]!.answer({kind: 'done', upstreamTimeMs: 1_000_000});
	await polls.at(-1)!.answer(fixture.createSeen({bornMs: 2, upstreamTimeMs: 0}));
	t.true(polls.at(-1)!.options.leaseUntilMs! <= defaultUpstreamLinkTiming.leaseMs);
	link.close();
});

test('an unclaimed run is known until its lease has ended if a new instance of its upstream does not list it', async t => {
	const fixture = new LinkFixture();
	const {link, polls} = fixture;
	await fixture.open();
	await polls.at(-1)!.answer(fixture.createSeen({running: [{task: 'a.0.0.0', number: 1}]}));
	await fixture.clock.advance(1);
	const createAnswer = (): PollOutcome => fixture.createSeen({bornMs: 2});
	await polls.at(-1)!.answer(createAnswer());
	await answerPolls(fixture, defaultUpstreamLinkTiming.leaseMs, createAnswer);
	t.true(link.hasUnclaimed('a'));
	await answerPolls(fixture, getMaxStopMs(1000) - defaultUpstreamLinkTiming.leaseMs, createAnswer);
	t.false(link.hasUnclaimed('a'));
	link.close();
});

test('the runs of a silent upstream end only after the longest lease, since a restart that was not seen may have changed its clock', async t => {
	const fixture = new LinkFixture();
	const {clock, link, polls, ended} = fixture;
	await fixture.open();
	await fixture.startRun('a.0.0.0');
	let grantedAt = 0;
	let pollCount = polls.length;
	while (ended.length === 0) {
		await clock.advance(10);
		if (polls.slice(pollCount).some(({options}) => options.leaseUntilMs !== undefined)) {
			grantedAt = clock.getMonotonicTime();
		}

		pollCount = polls.length;
	}

	const slowestClockRate = 0.98;
	t.true(clock.getMonotonicTime() - grantedAt >= defaultUpstreamLinkTiming.answerTimeoutMs + (1000 / slowestClockRate));
	t.deepEqual(ended, [['a.0.0.0', 'lapsed', 'lease-expired']]);
	link.close();
});

test('an end that a former instance listed is known after a restart', async t => {
	const fixture = new LinkFixture();
	const {link, polls} = fixture;
	await fixture.open();
	await polls.at(-1)!.answer(fixture.createSeen({
		ended: [{
			position: 1, task: 'a.0.0.0', number: 2, end: 'done',
		}],
	}));
	await polls.at(-1)!.answer(fixture.createSeen({bornMs: 2}));
	t.like(link.getRecentEnd('a.0.0.0'), {number: 2, end: 'done'});
	link.close();
});

test('a start that was never answered is stopped at a new instance of its upstream even if its run has lapsed', async t => {
	const fixture = new LinkFixture();
	const {link, stops, ended, clock} = fixture;
	await fixture.open();
	link.start(createRun('a.0.0.0'));
	await clock.advance(getMaxStopMs(1000) * 2);
	t.deepEqual(ended, [['a.0.0.0', 'lapsed', 'lease-expired']]);
	stops.length = 0;
	const createAnswer = (): PollOutcome => fixture.createSeen({bornMs: 2});
	await answerPolls(fixture, 300, createAnswer);
	t.like(stops[0]?.options.run, {task: 'a.0.0.0', number: 1});
	await answerPolls(fixture, 1000, createAnswer, true);
	await answerPolls(fixture, 1000, createAnswer);
	t.deepEqual(stops, []);
	link.close();
});

test('a list that was requested before an unclaimed run was seen does not forget the run', async t => {
	const fixture = new LinkFixture();
	const {link, polls} = fixture;
	await fixture.open();
	void link.pollImmediately();
	await fixture.clock.advance(1);
	const [, longPoll, shortPoll] = polls;
	await shortPoll!.answer(fixture.createSeen({running: [{task: 'a.0.0.0', number: 1}]}));
	await longPoll!.answer(fixture.createSeen());
	t.true(link.hasUnclaimed('a'));
	await fixture.clock.advance(1);
	await polls.at(-1)!.answer(fixture.createSeen());
	await polls.at(-1)!.answer(fixture.createSeen());
	t.false(link.hasUnclaimed('a'));
	link.close();
});

test('a run ends although a restarted upstream lists an earlier run of its task in its first list', async t => {
	const fixture = new LinkFixture();
	const {link, polls, starts} = fixture;
	await fixture.open();
	link.start({...createRun('a.0.0.0'), number: 2});
	await fixture.clock.advance(1);
	await starts[0]!.answer(fixture.createDone());
	await fixture.clock.advance(1);
	await polls.at(-1)!.answer(fixture.createSeen({bornMs: 2, running: [{task: 'a.0.0.0', number: 1}]}));
	await answerPolls(fixture, 5000, () => fixture.createSeen({bornMs: 2}), true);
	t.is(fixture.ended.length, 1);
	link.close();
});

test('an answer that is overtaken by the end of a run does not show the run as an unclaimed one', async t => {
	const fixture = new LinkFixture();
	const {link, polls} = fixture;
	await fixture.open();
	await fixture.startRun('a.0.0.0');
	void link.pollImmediately();
	await fixture.clock.advance(1);
	const [, longPoll, shortPoll] = polls;
	await longPoll!.answer(fixture.createSeen({
		ended: [{
			position: 1, task: 'a.0.0.0', number: 1, end: 'done',
		}],
	}));
	await fixture.clock.advance(1);
	await shortPoll!.answer(fixture.createSeen({running: [{task: 'a.0.0.0', number: 1}]}));
	t.is(link.getUnclaimedCount(), 0);
	t.true(link.isAcceptingStarts());
	link.close();
});

test('a run ends with its lease although its upstream refuses all polls', async t => {
	const fixture = new LinkFixture();
	const {link} = fixture;
	await fixture.open();
	await fixture.startRun('a.0.0.0');
	await answerPolls(fixture, 5000, () => ({kind: 'refused', reason: 'unhealthy'}));
	t.is(fixture.ended.length, 1);
	link.close();
});

test('an upstream that refused connections and answers again has not crashed', async t => {
	const fixture = new LinkFixture();
	const {link} = fixture;
	await fixture.open();
	await fixture.startRun('a.0.0.0');
	await answerPolls(fixture, 500, () => ({kind: 'unanswered', detail: 'connection refused', isRefused: true}));
	t.deepEqual(fixture.signs, [['refused', ['a.0.0.0']]]);
	await answerPolls(fixture, 500, () => fixture.createSeen({running: [{task: 'a.0.0.0', number: 1}]}));
	t.deepEqual(fixture.signs, [['refused', ['a.0.0.0']], ['alive', ['a.0.0.0']]]);
	link.close();
});

test('an upstream at whose address another one answers has crashed', async t => {
	const fixture = new LinkFixture();
	const {link} = fixture;
	await fixture.open();
	await fixture.startRun('a.0.0.0');
	await answerPolls(fixture, 500, () => ({kind: 'unanswered', detail: 'connection refused', isRefused: true}));
	await answerPolls(fixture, 500, () => ({kind: 'refused', reason: 'wrong-instance'}));
	t.deepEqual(fixture.signs, [['refused', ['a.0.0.0']], ['crash', ['a.0.0.0']]]);
	link.close();
});

test('a crash under a run alone that was answered and not stopped is its fault', async t => {
	const fixture = new LinkFixture();
	const {link} = fixture;
	await fixture.open();
	await fixture.startRun('a.0.0.0');
	await answerPolls(fixture, 500, () => fixture.createSeen({bornMs: 2}));
	t.deepEqual(fixture.signs, [['crash', ['a.0.0.0']]]);
	t.deepEqual(fixture.aloneTasks, ['a.0.0.0']);
	link.close();
});

test('a crash under a start that was left unanswered is not its fault for certain', async t => {
	const fixture = new LinkFixture();
	const {link} = fixture;
	await fixture.open();
	link.start(createRun('a.0.0.0'));
	await fixture.clock.advance(250);
	await answerPolls(fixture, 500, () => fixture.createSeen({bornMs: 2}));
	t.deepEqual(fixture.signs, [['crash', ['a.0.0.0']]]);
	t.deepEqual(fixture.aloneTasks, []);
	link.close();
});

test('a crash that shows while a run is being stopped is not its fault for certain', async t => {
	const fixture = new LinkFixture();
	const {link} = fixture;
	await fixture.open();
	const run = await fixture.startRun('a.0.0.0');
	link.stop(run);
	await fixture.clock.advance(250);
	await answerPolls(fixture, 500, () => fixture.createSeen({bornMs: 2}));
	t.deepEqual(fixture.signs, [['crash', ['a.0.0.0']]]);
	t.deepEqual(fixture.aloneTasks, []);
	link.close();
});

test('an unanswered start that is followed by refused connections crashed its upstream, whatever is sent afterwards', async t => {
	const fixture = new LinkFixture();
	const {link} = fixture;
	await fixture.open();
	link.start(createRun('a.0.0.0'));
	await fixture.clock.advance(200);
	await answerPolls(fixture, 1000, () => ({kind: 'unanswered', detail: 'connection refused', isRefused: true}));
	await answerPolls(fixture, 500, () => fixture.createSeen({bornMs: 2}));
	t.deepEqual(fixture.signs, [['refused', ['a.0.0.0']], ['crash', ['a.0.0.0']]]);
	t.deepEqual(fixture.aloneTasks, ['a.0.0.0', 'a.0.0.0']);
	link.close();
});

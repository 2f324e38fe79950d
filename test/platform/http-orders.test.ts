import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import {type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {HttpOrders} from '../../src/platform/http-orders.js';
import {
	type DecisionLog, type LogFields, type OrderOutcome, type PollOutcome, type UpstreamDescription,
} from '../../src/pool/index.js';
import {systemClock} from '../../src/seams/index.js';

type SentOrder = 'start' | 'stop' | 'poll';

const run = {task: 'a.0.0.1', number: 2};

/** Sends orders to a server on loopback. */
class TestUpstream {
	readonly logged: Array<LogFields & {readonly message: string}> = [];
	readonly orders: HttpOrders;
	readonly #upstream: UpstreamDescription;

	constructor(address: string) {
		const add = (fields: LogFields, message: string): void => {
			this.logged.push({...fields, message});
		};

		const log: DecisionLog = {debug: add, info: add, warn: add};
		this.orders = new HttpOrders({clock: systemClock, log});
		this.#upstream = {
			id: 'i-1', bornMs: 1, address, dataCenter: 'dc1', service: 's', rack: 'r1', labels: [], isLeaving: false, capacity: {cpu: 1, memoryMb: 1, accelerators: 0},
		};
	}

	async send(order: SentOrder): Promise<OrderOutcome | PollOutcome> {
		const options = {upstream: this.#upstream, fence: 1, timeoutMs: 20_000};
		switch (order) {
			case 'start': {
				return this.orders.startRun({
					...options, run, spec: '', leaseUntilMs: 1,
				});
			}

			case 'stop': {
				return this.orders.stopRun({...options, run});
			}

			case 'poll': {
				return this.orders.poll({...options, acknowledged: 0, waitMs: 0});
			}
		}
	}
}

async function createTestUpstream(t: ExecutionContext, listener: RequestListener): Promise<TestUpstream> {
	const server = createServer(listener).listen({host: '127.0.0.1', port: 0});
	await once(server, 'listening');
	const upstream = new TestUpstream(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	t.teardown(async () => {
		await upstream.orders.close();
		server.close();
	});
	return upstream;
}

test('the log names the status or the failure behind each refused and each unanswered order', async t => {
	const answers = [[503, ''], [409, '{"clock_ms":1,"reason":"room"}'], [200, '{'], [200, '[]'], [502, '<html>']] as const;
	let position = 0;
	const upstream = await createTestUpstream(t, (_req, res) => {
		const answer = answers[position++];
		if (answer === undefined) {
			res.destroy();
		} else {
			res.writeHead(answer[0]).end(answer[1]);
		}
	});
	for (const order of ['poll', 'start', 'start', 'stop', 'stop', 'poll'] as const) {
		await upstream.send(order);
	}

	const message = 'order not answered';
	t.like(upstream.logged, [
		{
			order: 'poll', upstream: 'i-1', task: undefined, status: 503, reason: 'unhealthy', message: 'order refused by its upstream',
		},
		{
			order: 'start', task: run.task, run: run.number, status: 409, reason: 'no-room',
		},
		{order: 'start', status: 200, message},
		{
			order: 'stop', status: 200, detail: 'the answer cannot be decoded', message,
		},
		{order: 'stop', status: 502, message},
		{
			order: 'poll', status: undefined, detail: 'other side closed', message,
		},
	]);
	t.is(upstream.logged.length, 6);
});

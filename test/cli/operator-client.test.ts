import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import test from 'ava';
import * as z from 'zod';
import {OperatorClient} from '../../src/cli/operator-client.js';
import {ManualClock} from '../../src/testing/index.js';

test('the time limit of a request is one of the passed clock, so that a busy machine does not end it', async t => {
	const server = createServer().listen(0, '127.0.0.1');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	await once(server, 'listening');
	const clock = new ManualClock();
	const client = new OperatorClient({clock, timeoutMs: 50});
	const answer = client.getJson(`127.0.0.1:${(server.address() as AddressInfo).port}`, '/v1/status', z.object({}));
	await once(server, 'request');
	await clock.advance(50);
	t.deepEqual(await answer, {ok: false, detail: 'no answer within 50 ms'});
	await client.close();
});

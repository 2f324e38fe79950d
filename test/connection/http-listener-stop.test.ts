import {type ServerResponse} from 'node:http';
import test from 'ava';
import {Agent, request} from 'undici';
import {createHttpListener} from '../../src/connection/index.js';

test('closing the listener closes the connection of a request in progress once it is answered', async t => {
	let arrived: (res: ServerResponse) => void;
	const waiting = new Promise<ServerResponse>(resolve => {
		arrived = resolve;
	});
	const listener = await createHttpListener({
		address: '127.0.0.1:0',
		idleTimeoutMs: 600_000,
		handler(_req, res) {
			arrived(res);
		},
	});
	const dispatcher = new Agent({keepAliveTimeout: 600_000, keepAliveMaxTimeout: 600_000});
	const answer = request(`http://${listener.getAddress()}/`, {dispatcher});
	const res = await waiting;
	const closed = listener.close();
	res.end('whole');
	const {body} = await answer;
	t.is(await body.text(), 'whole');
	await closed;
	await dispatcher.close();
});

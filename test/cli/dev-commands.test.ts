import test from 'ava';
import {run} from './cli-fixture.js';

test('the demo checks the guarantees and ends', async t => {
	const {exitCode, out} = await run(['demo']);
	t.is(exitCode, 0);
	t.is(out.split('\n').filter(line => line.startsWith('held')).length, 4);
	t.regex(out, /starts counted by the upstreams: 100/v);
});

test('the development deployment prints its addresses and stops', async t => {
	const {exitCode, out} = await run(['dev']);
	t.is(exitCode, 0);
	t.regex(out, /export ENDIVEMILL_PLATFORM_URLS=http:/v);
	t.true(out.endsWith('stopped\n'));
});

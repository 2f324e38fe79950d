import {Buffer} from 'node:buffer';
import test from 'ava';
import {request} from 'undici';
import {createPlatformStandIn, type PlatformStandIn} from '../../src/testing/index.js';
import {createUpstream} from '../process/follower-fixture.js';
import {createFakeClock} from '../support/fake-clock.js';
import {loopbackHost} from '../support/loopback-host.js';

const encode = (text: string): string => Buffer.from(text).toString('base64');

async function callStandIn(url: string, body: unknown, method: 'GET' | 'POST' | 'PUT' | 'DELETE' = 'POST'): Promise<Record<string, unknown>> {
	const res = await request(url, {method, body: method === 'GET' ? undefined : JSON.stringify(body)});
	return await res.body.json() as Record<string, unknown>;
}

async function getKeyCount(standIn: PlatformStandIn, key: string): Promise<unknown> {
	const range = await callStandIn(`${standIn.getUrl()}/v3/kv/range`, {key: encode(key), range_end: encode('~')}); // eslint-disable-line @typescript-eslint/naming-convention
	return range.count;
}

test('the control endpoint changes faults and the list of VMs, also while the service is down', async t => {
	const standIn = await createPlatformStandIn({host: loopbackHost});
	const control = standIn.getControlUrl();
	await callStandIn(`${control}/fault`, {isDown: true}, 'PUT');
	await t.throwsAsync(callStandIn(`${standIn.getUrl()}/v3/kv/range`, {key: encode('/')}), {code: 'ECONNREFUSED'});
	t.deepEqual(await callStandIn(`${control}/fault`, undefined, 'GET'), {isDown: true});
	await callStandIn(`${control}/vm`, createUpstream('u1'), 'PUT');
	await callStandIn(`${control}/key`, {key: '/other', value: 'x'}, 'PUT');
	await callStandIn(`${control}/fault`, {}, 'PUT');
	t.is(await getKeyCount(standIn, '/'), '2');
	await callStandIn(`${control}/vm`, {dataCenter: 'shanti', name: 'u1'}, 'DELETE');
	t.is(await getKeyCount(standIn, '/'), '1');
	t.deepEqual(await callStandIn(`${control}/calls`, undefined, 'GET'), Object.fromEntries([['/v3/kv/range', 2]]));
	t.regex(String((await callStandIn(`${control}/fault`, {isUp: true}, 'PUT')).error), /isUp/v); // eslint-disable-line unicorn/no-await-expression-member
	await standIn.close();
});

test('a lease that is not kept alive expires with its keys', async t => {
	const clock = createFakeClock();
	const standIn = await createPlatformStandIn({clock, host: loopbackHost});
	const url = standIn.getUrl();
	const lease = await callStandIn(`${url}/v3/lease/grant`, {TTL: '10'}); // eslint-disable-line @typescript-eslint/naming-convention
	await callStandIn(`${url}/v3/kv/put`, {key: encode('/a'), value: encode('x'), lease: lease.ID});
	clock.tick(9000);
	t.like(await callStandIn(`${url}/v3/lease/keepalive`, {ID: lease.ID}), {result: {TTL: '10'}}); // eslint-disable-line @typescript-eslint/naming-convention
	clock.tick(9000);
	t.is(await getKeyCount(standIn, '/'), '1');
	clock.tick(1000);
	t.is(await getKeyCount(standIn, '/'), '0');
	t.like(await callStandIn(`${url}/v3/lease/keepalive`, {ID: lease.ID}), {result: {TTL: '0'}}); // eslint-disable-line @typescript-eslint/naming-convention
	await standIn.close();
});

test('a transaction applies all its writes at one revision, or none', async t => {
	const standIn = await createPlatformStandIn({host: loopbackHost});
	const put = (key: string): unknown => ({requestPut: {key: encode(key), value: encode('x')}});
	const txn = async (version: string): Promise<unknown> => callStandIn(`${standIn.getUrl()}/v3/kv/txn`, {
		compare: [{key: encode('/a'), target: 'VERSION', version}], success: [put('/a'), put('/b')], failure: [{requestRange: {key: encode('/a')}}],
	});
	t.like(await txn('0'), {succeeded: true, header: {revision: '2'}});
	t.like(await txn('0'), {succeeded: undefined, header: {revision: '2'}, responses: [{response_range: {kvs: [{mod_revision: '2'}]}}]}); // eslint-disable-line @typescript-eslint/naming-convention
	await standIn.close();
});

test('a request that is not valid JSON is refused', async t => {
	const standIn = await createPlatformStandIn({host: loopbackHost});
	const res = await request(`${standIn.getUrl()}/v3/kv/range`, {method: 'POST', body: '{'});
	t.is(res.statusCode, 400);
	await standIn.close();
});

test('concurrent changes of faults and a close leave no listener', async t => {
	const standIn = await createPlatformStandIn({host: loopbackHost});
	await Promise.all([standIn.setFault({isDown: true}), standIn.setFault(), standIn.setFault({isDown: true}), standIn.setFault(), standIn.close()]);
	await t.throwsAsync(callStandIn(`${standIn.getUrl()}/v3/kv/range`, {key: encode('/')}), {code: 'ECONNREFUSED'});
});

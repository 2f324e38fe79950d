import {once} from 'node:events';
import {copyFileSync, mkdtempSync, writeFileSync} from 'node:fs';
import {request} from 'node:https';
import {type IncomingMessage} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {connect, type TLSSocket} from 'node:tls';
import test, {type ExecutionContext} from 'ava';
import {
	createHttpListener, createTlsDial, createTlsListen, createTlsStore, type HttpListener, type TlsStore, type TlsStoreOptions,
} from '../../src/connection/index.js';
import {systemClock} from '../../src/seams/index.js';
import {getTlsFile, readTlsFile} from '../support/tls-files.js';

const neverAbortedSignal = new AbortController().signal;

async function createStore(t: ExecutionContext, files: TlsStoreOptions['files'], options: Partial<TlsStoreOptions> = {}): Promise<TlsStore> {
	const store = await createTlsStore({files, ...options});
	t.teardown(() => {
		store.close();
	});
	return store;
}

async function listen(t: ExecutionContext, tls: TlsStore): Promise<HttpListener> {
	const listener = await createHttpListener({
		address: '127.0.0.1:0', tls, handler(_req, res) {
			res.end('ok');
		},
	});
	t.teardown(async () => listener.abort());
	return listener;
}

/** Gets the common name of the listener's certificate, or the error code if the request fails. */
async function call(listener: HttpListener, options: {readonly cert?: string; readonly key?: string} = {}): Promise<string> {
	const req = request(`https://${listener.getAddress()}/`, {ca: readTlsFile('authority'), agent: false, ...options});
	req.end();
	try {
		const [res] = await once(req, 'response') as [IncomingMessage];
		const {subject} = (res.socket as TLSSocket).getPeerCertificate();
		res.resume();
		return String(subject.CN);
	} catch (err) {
		return (err as NodeJS.ErrnoException).code ?? 'fault';
	}
}

test('a listener presents a changed certificate on new connections, and keeps the old one while the new one is unusable', async t => {
	const folder = mkdtempSync(path.join(tmpdir(), 'tls-'));
	const files = {certFile: path.join(folder, 'cert.pem'), keyFile: path.join(folder, 'key.pem')};
	copyFileSync(getTlsFile('server'), files.certFile);
	copyFileSync(getTlsFile('server-key'), files.keyFile);
	let poll: (() => void) | undefined;
	const store = await createStore(t, files, {
		clock: {
			...systemClock,
			setRepeatingTimer(callback) {
				poll = callback;
				return {
					close() {
						poll = undefined;
					},
				};
			},
		},
	});
	t.truthy(poll);
	const listener = await listen(t, store);
	t.is(await call(listener), 'server');

	copyFileSync(getTlsFile('renewed-server'), files.certFile);
	await store.refresh();
	writeFileSync(files.keyFile, 'half a key');
	await store.refresh();
	t.deepEqual(store.getCounters(), {reloads: 0, failedReloads: 2});
	t.is(await call(listener), 'server');

	copyFileSync(getTlsFile('renewed-server-key'), files.keyFile);
	await store.refresh();
	await store.refresh();
	t.deepEqual(store.getCounters(), {reloads: 1, failedReloads: 2});
	t.is(await call(listener), 'renewed-server');
	store.close();
	t.is(poll, undefined);
});

test('a listener with authorities refuses callers without a certificate signed by them', async t => {
	const store = await createStore(t, {certFile: getTlsFile('server'), keyFile: getTlsFile('server-key'), caFile: getTlsFile('authority')});
	const listener = await listen(t, store);
	t.is(await call(listener, {cert: readTlsFile('client'), key: readTlsFile('client-key')}), 'server');
	t.not(await call(listener), 'server');
	t.not(await call(listener, {cert: readTlsFile('other-client'), key: readTlsFile('other-client-key')}), 'server');
	t.is(await call(listener, {cert: readTlsFile('client'), key: readTlsFile('client-key')}), 'server');
});

test('a plain HTTP request to a TLS listener does not affect other callers', async t => {
	const store = await createStore(t, {certFile: getTlsFile('server'), keyFile: getTlsFile('server-key')});
	const listener = await listen(t, store);
	await t.throwsAsync(fetch(`http://${listener.getAddress()}/`));
	t.is(listener.getCounters().malformed, 1);
	t.is(await call(listener), 'server');
});

test('the error for unusable files does not contain their contents', async t => {
	const mismatch = await t.throwsAsync(createTlsStore({files: {certFile: getTlsFile('server'), keyFile: getTlsFile('client-key')}}));
	t.is(mismatch?.message, 'certificate and key cannot be used: ERR_OSSL_X509_KEY_VALUES_MISMATCH');
	const missing = await t.throwsAsync(createTlsStore({files: {certFile: getTlsFile('none'), keyFile: getTlsFile('client-key')}}));
	t.regex(missing?.message ?? '', /^ENOENT/v);
});

test('peers accept and open connections only with a certificate signed by their authority', async t => {
	const authority = getTlsFile('authority');
	const server = await createStore(t, {certFile: getTlsFile('server'), keyFile: getTlsFile('server-key'), caFile: authority});
	const client = await createStore(t, {certFile: getTlsFile('client'), keyFile: getTlsFile('client-key'), caFile: authority});
	const untrusted = await createStore(t, {certFile: getTlsFile('other-client'), keyFile: getTlsFile('other-client-key'), caFile: getTlsFile('other-authority')});
	const lines: string[] = [];
	let acceptedCount = 0;
	const listener = await createTlsListen(server)('127.0.0.1:0', socket => {
		acceptedCount++;
		socket.on('data', (chunk: Uint8Array) => {
			lines.push(String(chunk));
			socket.end('bye');
		});
	});
	const dialed = await createTlsDial(client)(listener.address, neverAbortedSignal);
	t.true(dialed.ok);
	if (dialed.ok) {
		dialed.socket.write('hello');
		const [reply] = await once(dialed.socket, 'data') as [Uint8Array];
		t.deepEqual([lines, String(reply)], [['hello'], 'bye']);
		dialed.socket.destroy();
	}

	t.like(await createTlsDial(untrusted)(listener.address, neverAbortedSignal), {ok: false, reason: 'unreachable'});
	t.like(await createTlsDial(client)(listener.address, AbortSignal.abort()), {ok: false});

	// The accepting side closes the connection of an untrusted client that does not verify the server.
	const [host, port] = listener.address.split(':') as [string, string];
	const socket = connect({
		host, port: Number(port), rejectUnauthorized: false, cert: readTlsFile('other-client'), key: readTlsFile('other-client-key'),
	});
	socket.on('error', () => {
		socket.destroy();
	});
	await once(socket, 'close');
	t.is(acceptedCount, 1);
	await listener.close();
	t.like(await createTlsDial(client)(listener.address, neverAbortedSignal), {ok: false, reason: 'refused'});
	t.like(await createTlsDial(client)('127.0.0.1:99999', neverAbortedSignal), {ok: false, reason: 'unreachable'});
});

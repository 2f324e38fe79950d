import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {buildSync} from 'esbuild';
import {createPlatformStore} from '../../src/testing/index.js';

async function isListening(host: string, port: number): Promise<boolean> {
	const socket = connect({host, port});
	try {
		await once(socket, 'connect');
		return true;
	} catch {
		return false;
	} finally {
		socket.destroy();
	}
}

test('a stop signal during startup shuts the process down gracefully', async t => {
	const dir = await mkdtemp(path.join(tmpdir(), 'main-'));
	const store = await createPlatformStore();
	t.teardown(async () => rm(dir, {recursive: true}));
	t.teardown(async () => store.close());
	// Delays startup: the metrics listener starts listening late.
	const outfile = path.join(dir, 'daemon.cjs');
	buildSync({
		entryPoints: [fileURLToPath(new URL('../../src/platform/main.ts', import.meta.url))], bundle: true, platform: 'node', format: 'cjs', outfile, logLevel: 'error',
		external: ['dtrace-provider', 'mv', 'source-map-support'],
		banner: {js: 'const {Server: NetServer} = require("node:net"); const ownListen = NetServer.prototype.listen; NetServer.prototype.listen = function (options, ...rest) { setTimeout(() => ownListen.call(this, options, ...rest), options?.port === 9464 ? 1500 : 0); return this; };'},
	});
	const ip = `127.${128 + (process.pid % 64)}.${Math.floor(process.pid / 64) % 256}.1`;
	const config = path.join(dir, 'conf');
	await writeFile(config, ['node_name=a', 'zone=dc1', `ip=${ip}`, `listen.front=${ip}:8161`, `listen.ready=${ip}:8167`, `listen.control=${ip}:8166`, `platform.address=${store.getAddress()}`].join('\n'));
	const child = spawn(process.execPath, [outfile], {env: {PATH: process.env.PATH, ENDIVEMILL_CONFIG: config}, stdio: 'ignore'});
	const ended = once(child, 'exit');
	while (!await isListening(ip, 8167)) {
		await delay(10);
	}

	child.kill('SIGTERM');
	t.deepEqual(await ended, [0, null]);
});

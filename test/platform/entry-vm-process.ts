/**
 * An entry VM of the platform as a process of its own, with a store and upstreams in the process of the test.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtemp, readdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';
import {request} from 'undici';
import {createPlatformStore, createPlatformUpstream} from '../../src/testing/index.js';

/** Arguments of the runtime as in `deploy/system.toml`. */
const runtimeArguments = ['--max-old-space-size=160', '--max-semi-space-size=16', '--interrupt-budget=1000000'];
const root = fileURLToPath(new URL('../..', import.meta.url));
const host = 'jobs.example';
/** Port of the callers' interface. */
export const callerPort = 8161;
/** State of an open connection in the kernel's table. */
const establishedState = '01';
const retryMs = 100;
/** Number of polls without a rise after which memory and descriptors count as settled. */
const settledPolls = 20;
const jobBody = JSON.stringify({
	spec: 'x', best_effort: true, steps: [{
		count: 2, cpu: 6800, mem_mb: 64, estimate_ms: 30,
	}],
});

/** A running process. */
export class EntryVmProcess {
	readonly #child: ChildProcess;
	#jobCount = 0;
	#end = '';

	constructor(readonly ip: string, child: ChildProcess) {
		this.#child = child;
		child.once('exit', (code, signal) => {
			this.#end = `code ${code}, signal ${signal}`;
		});
	}

	/** Gets how the process ended; empty while it lives. */
	getEnd(): string {
		return this.#end;
	}

	/** Gets the highest resident memory so far, in megabytes of 1,048,576 bytes. */
	async getPeakMemoryMb(): Promise<number> {
		const kilobytes = await this.#getKilobytes('VmHWM');
		return kilobytes / 1024;
	}

	/** Gets the memory that counts for the VM, in megabytes of 1,048,576 bytes: the resident one and what callers have sent that was not read. */
	async getMemoryMb(): Promise<number> {
		const kilobytes = await this.#getKilobytes('VmRSS');
		const unreadBytes = await getUnreadBytes(this.ip, callerPort);
		return (kilobytes / 1024) + (unreadBytes / 1024 / 1024);
	}

	/** Gets the number of open descriptors. */
	async getDescriptorCount(): Promise<number> {
		const names = await readdir(`/proc/${this.#child.pid}/fd`);
		return names.length;
	}

	/** Waits until memory and descriptors have not risen for some time or the process has ended, and gets the highest number of descriptors seen. */
	async waitUntilSettled(): Promise<number> {
		let peak = {memoryMb: 0, descriptors: 0};
		for (let idlePolls = 0; idlePolls < settledPolls && this.#end === ''; idlePolls++) {
			const memoryMb = await this.getPeakMemoryMb();
			const descriptors = await this.getDescriptorCount();
			if (memoryMb > peak.memoryMb + 1 || descriptors > peak.descriptors) {
				peak = {memoryMb, descriptors: Math.max(descriptors, peak.descriptors)};
				idlePolls = 0;
			}

			await delay(retryMs);
		}

		return peak.descriptors;
	}

	/** Submits jobs until one is completed; a refused one has not run. Rejects when the process has ended. */
	async completeJob(): Promise<void> {
		for (;;) {
			if (this.#end !== '') {
				throw new Error(`the process ended: ${this.#end}`);
			}

			this.#jobCount++;
			const id = this.#jobCount.toString(16).padStart(16, '0');
			try {
				const res = await request(`http://${this.ip}:${callerPort}/jobs/${id}`, {method: 'POST', headers: {host}, body: jobBody});
				const text = await res.body.text();
				if (res.statusCode === 200 && text === '{"state":"completed"}') {
					return;
				}
			} catch {
				// The connection was refused or closed.
			}

			await delay(retryMs);
		}
	}

	/** Kills the process. */
	async close(): Promise<void> {
		if (this.#end === '') {
			this.#child.kill('SIGKILL');
			await once(this.#child, 'exit');
		}
	}

	async #getKilobytes(field: string): Promise<number> {
		const status = await readFile(`/proc/${this.#child.pid}/status`, 'utf8');
		const line = status.split('\n').find(text => text.startsWith(`${field}:`));
		// A process that is ending has no memory any more.
		return Number.parseInt(line?.slice(field.length + 1) ?? '0', 10);
	}
}

/** Gets the bytes that the kernel holds for the accepted connections of a listener. */
async function getUnreadBytes(ip: string, port: number): Promise<number> {
	const toHex = (value: number, length: number): string => value.toString(16).toUpperCase().padStart(length, '0');
	const local = `${ip.split('.').reverse().map(part => toHex(Number(part), 2)).join('')}:${toHex(port, 4)}`;
	const table = await readFile('/proc/net/tcp', 'utf8');
	let bytes = 0;
	for (const line of table.split('\n')) {
		const [, address, , state, queues] = line.trim().split(/\s+/v);
		if (address === local && state === establishedState) {
			bytes += Number.parseInt(queues!.split(':')[1]!, 16);
		}
	}

	return bytes;
}

/**
 * Starts a process with its store and upstreams, and waits until it has completed a job.
 * @param options - Lines of the settings file, the configuration's limits, and a function that ends everything with the test.
 */
export async function startEntryVmProcess({settings = [], limits = {}, onEnd}: {
	readonly settings?: readonly string[];
	readonly limits?: Readonly<Record<string, number>>;
	readonly onEnd: (end: () => Promise<void>) => void;
}): Promise<EntryVmProcess> {
	const dir = await mkdtemp(path.join(tmpdir(), 'entry-vm-'));
	onEnd(async () => rm(dir, {recursive: true}));
	const store = await createPlatformStore();
	onEnd(async () => store.close());
	for (const position of [0, 1]) {
		const upstream = await createPlatformUpstream({
			id: `i-${position}`, dataCenter: 'dc1', service: 's', store, getWork: () => ({needs: {cpu: 6800, memoryMb: 64, accelerators: 0}, durationMs: 5}),
		});
		onEnd(async () => upstream.close());
	}

	store.setText('op/config', JSON.stringify({
		version: 1,
		routes: [{
			name: 'r', host, prefix: '/jobs/', service: 's', timeout_ms: 20_000, target_runtime_ms: 10_000, max_attempts: 3,
		}],
		services: [{name: 's'}],
		limits,
	}));
	const outfile = path.join(dir, 'daemon.cjs');
	await build({
		entryPoints: [path.join(root, 'src/platform/main.ts')], bundle: true, platform: 'node', format: 'cjs', outfile, logLevel: 'error', minifySyntax: true, minifyWhitespace: true,
		alias: Object.fromEntries(['dtrace-provider', 'mv', 'source-map-support'].map(name => [name, path.join(root, 'deploy/absent.cjs')])),
	});
	const ip = `127.${192 + (process.pid % 62)}.${Math.floor(process.pid / 62) % 256}.1`;
	const config = path.join(dir, 'conf');
	await writeFile(config, [
		'node_name=a', 'zone=dc1', `ip=${ip}`, `listen.front=${ip}:${callerPort}`, `listen.ready=${ip}:8167`, `listen.control=${ip}:8166`, `platform.address=${store.getAddress()}`, ...settings,
	].join('\n'));
	const child = spawn(process.execPath, [...runtimeArguments, outfile], {env: {PATH: process.env.PATH, ENDIVEMILL_CONFIG: config}, stdio: 'ignore'});
	const entryVm = new EntryVmProcess(ip, child);
	onEnd(async () => entryVm.close());
	await entryVm.completeJob();
	return entryVm;
}

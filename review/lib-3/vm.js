/**
 * One machine of the system: starts the program of the deploy file, and disturbs it with signals.
 */
import {spawn} from 'node:child_process';
import {
	closeSync, openSync, readFileSync, writeFileSync,
} from 'node:fs';
import {readdir, readFile, readlink} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));
const linkRouter = fileURLToPath(new URL('route-links.cjs', import.meta.url));

/** Ports of the callers' interface, of the readiness check and of the peers; the deploy file names the one of the metrics. */
export const ports = {
	front: 8161, ready: 8167, control: 8166, metrics: 9464,
};

/** Time from SIGTERM to SIGKILL, and time until an ended process is started again, in milliseconds. */
const graceMs = 6000;
const restartDelayMs = 500;

/** Unit of the processor time of a process. */
const ticksPerS = 100;

const [program, ...parameters] = /^run = "(?<command>[^"]+)"$/mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')).groups.command.split(' ');

export class Vm {
	#options;
	#child;
	#ended = Promise.resolve();
	#isClosed = false;

	/**
	 * Options: `name`, `zone`, `zones`, `ip`, `seeds`, `storeAddress`, `folder`, `record(kind, fields)`, and `links`, the ports of the proxies through which
	 * it reaches the other machines, if there are any.
	 */
	constructor(options) {
		this.#options = options;
		this.name = options.name;
		this.zone = options.zone;
		this.ip = options.ip;
		writeFileSync(this.#getFile('conf'), this.#createSettings());
	}

	get pid() {
		return this.#child?.pid;
	}

	/** Starts the process. */
	start() {
		if (this.#isClosed) {
			return;
		}

		const log = openSync(this.#getFile('log'), 'a');
		const {links} = this.#options;
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(program === 'node' ? process.execPath : program, parameters, {
			cwd: root, env: {
				PATH, HOME, LANG, ENDIVEMILL_CONFIG: this.#getFile('conf'),
				...(links !== undefined && {NODE_OPTIONS: `--require=${linkRouter}`, REVIEW_LINKS: JSON.stringify(links)}),
			}, stdio: ['ignore', log, log],
		});
		closeSync(log);
		this.#child = child;
		this.#options.record('process started', {vm: this.name});
		this.#ended = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				this.#options.record('process ended', {vm: this.name, code, signal});
				this.#child = undefined;
				resolve();
			});
		});
	}

	/** Sends a signal to the process. */
	signal(name) {
		this.#options.record('signal', {vm: this.name, signal: name});
		this.#child?.kill(name);
	}

	/** Stops the process as planned: SIGTERM, SIGKILL after the grace period, and a new start. */
	async restart() {
		this.signal('SIGTERM');
		const timer = setTimeout(() => {
			this.signal('SIGKILL');
		}, graceMs);
		await this.#ended;
		clearTimeout(timer);
		await delay(restartDelayMs);
		this.start();
	}

	/** Waits until the process has ended. */
	async waitForEnd() {
		await this.#ended;
	}

	/** Ends the process for good. */
	async close() {
		this.#isClosed = true;
		this.#child?.kill('SIGKILL');
		await this.#ended;
	}

	/** Gets the processor time that the process has used, in seconds. */
	async getProcessorS() {
		const stat = await readFile(`/proc/${this.pid}/stat`, 'utf8');
		const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
		return (Number(fields[11]) + Number(fields[12])) / ticksPerS;
	}

	/** Gets the inodes of the sockets of the process. */
	async getSocketInodes() {
		const folder = `/proc/${this.pid}/fd`;
		const inodes = new Set();
		try {
			for (const name of await readdir(folder)) {
				const target = await readLink(`${folder}/${name}`);
				const inode = /^socket:\[(?<inode>\d+)\]$/v.exec(target)?.groups.inode;
				if (inode !== undefined) {
					inodes.add(inode);
				}
			}
		} catch {
			// The process has ended.
		}

		return inodes;
	}

	#getFile(extension) {
		return path.join(this.#options.folder, `${this.name}.${extension}`);
	}

	#createSettings() {
		const {name, zone, zones, ip, seeds, storeAddress} = this.#options;
		return [
			`node_name=${name}`,
			'role=entry',
			'machine_class=edge',
			'serves=edge,control',
			`ip=${ip}`,
			`zone=${zone}`,
			'region=north',
			...zones.map(other => `zones.${other}=north`),
			`listen.front=${ip}:${ports.front}`,
			`listen.ready=${ip}:${ports.ready}`,
			`listen.control=${ip}:${ports.control}`,
			'port_range=7720,7735',
			`seeds=${seeds.map(seed => `${seed}:${ports.control}`).join(',')}`,
			'bootstrap=true',
			'limits.cpu_share=0.675',
			'limits.cores=1',
			'limits.memory_mb=350',
			'limits.max_fds=4100',
			'limits.link_mbps=1000.0',
			'limits.disk_mb=0',
			'discovery=platform',
			'entry=vip',
			'heartbeat_ms=1500',
			'bounds.contact_ms=3000',
			'bounds.ack_ms=4000',
			'bounds.drain_ms=2000',
			'bounds.grace_s=6',
			'bounds.loss_slack_ms=200',
			'bounds.config_apply_ms=2000',
			'bounds.max_hold_ms=1000',
			'bounds.stop_timeout_ms=50',
			'bounds.cancel_ms=3000',
			'bounds.resend_ms=1300',
			'orders=rpc',
			`platform.address=${storeAddress}`,
			'platform.form=kv',
			'platform.writes_per_s=400',
			'platform.reads_per_s=2000',
			'platform.history_s=20',
			'platform.value_bytes=1048576',
			'platform.min_ttl_ms=1000',
			'',
		].join('\n');
	}
}

/** Gets what a link names; empty if its descriptor was closed meanwhile. */
async function readLink(link) {
	try {
		return await readlink(link);
	} catch {
		return '';
	}
}

/** Gets the process at the other end of a connection on loopback, as a minion would know its machine by the address; `undefined` if there is none. */
export async function findSender({remoteAddress, remotePort}, vms) {
	if (remoteAddress === undefined) {
		// The connection has ended.
		return undefined;
	}

	const hex = (value, length) => value.toString(16).toUpperCase().padStart(length, '0');
	const local = `${remoteAddress.split('.').reverse().map(part => hex(Number(part), 2)).join('')}:${hex(remotePort, 4)}`;
	const table = await readFile('/proc/net/tcp', 'utf8');
	const line = table.split('\n').find(text => text.trim().split(/\s+/v)[1] === local);
	const inode = line?.trim().split(/\s+/v)[9];
	for (const vm of vms) {
		const inodes = await vm.getSocketInodes();
		if (inodes.has(inode)) {
			return vm;
		}
	}

	return undefined;
}

/**
 * One entry VM: runs the command of the deploy file as a process of its own.
 */
import {spawn} from 'node:child_process';
import {
	closeSync, openSync, readFileSync, writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));
const restartDelayMs = 500;
export const ports = {
	front: 8161, control: 8166, ready: 8167, metrics: 9464,
};

/** Gets the program and its arguments from the deploy file. */
function getCommand() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<run>[^"]+)"$/mv.exec(text).groups.run.split(' ');
}

export class Vm {
	#options;
	#child;
	#ended = Promise.resolve();
	#isClosed = false;
	/** Whether the current end of the process was asked for. */
	#isEndExpected = false;

	/**
	 * @param options - `name`, `zone`, `zones`, `ip`, `seeds`, `storeAddress`, `folder`, `record`.
	 */
	constructor(options) {
		this.#options = options;
		writeFileSync(this.#getFile('conf'), this.#createSettings());
	}

	get name() {
		return this.#options.name;
	}

	get zone() {
		return this.#options.zone;
	}

	get ip() {
		return this.#options.ip;
	}

	get isRunning() {
		return this.#child !== undefined;
	}

	start() {
		if (this.#isClosed || this.#child) {
			return;
		}

		const [program, ...args] = getCommand();
		const log = openSync(this.#getFile('log'), 'a');
		const child = spawn(program === 'node' ? process.execPath : program, args, {
			cwd: root, env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, ENDIVEMILL_CONFIG: this.#getFile('conf'),
			}, stdio: ['ignore', log, log],
		});
		closeSync(log);
		this.#child = child;
		this.#isEndExpected = false;
		this.#options.record({event: 'process started', vm: this.name, pid: child.pid});
		this.#ended = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				this.#child = undefined;
				this.#options.record({
					event: 'process ended', vm: this.name, pid: child.pid, code, signal, byItself: !this.#isEndExpected && !this.#isClosed,
				});
				resolve();
				setTimeout(() => {
					this.start();
				}, restartDelayMs).unref();
			});
		});
	}

	/** Sends a signal; the platform restarts the process when it has ended. */
	signal(signal) {
		this.#isEndExpected ||= signal === 'SIGTERM' || signal === 'SIGKILL';
		this.#options.record({event: 'signal', vm: this.name, signal});
		this.#child?.kill(signal);
	}

	async isReady() {
		return new Promise(resolve => {
			const req = get({
				host: this.ip, port: ports.ready, path: '/api/readiness', timeout: 500,
			}, res => {
				res.resume();
				resolve(res.statusCode === 200);
			});
			req.once('timeout', () => {
				req.destroy();
			});
			req.once('error', () => {
				resolve(false);
			});
		});
	}

	async close() {
		this.#isClosed = true;
		this.#child?.kill('SIGKILL');
		await this.#ended;
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
			'region=r',
			...zones.map(other => `zones.${other}=r`),
			`listen.front=${ip}:${ports.front}`,
			`listen.ready=${ip}:${ports.ready}`,
			`listen.control=${ip}:${ports.control}`,
			'port_range=7720,7735',
			`seeds=${seeds.map(seed => `${seed}:${ports.control}`).join(',')}`,
			'bootstrap=true',
			'fault_counted=false',
			'limits.cpu_share=0.675',
			'limits.cores=1',
			'limits.memory_mb=350',
			'limits.max_fds=4100',
			'discovery=platform',
			'entry=vip',
			'heartbeat_ms=1500',
			'contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing',
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
			'',
		].join('\n');
	}
}

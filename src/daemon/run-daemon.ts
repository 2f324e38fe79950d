/**
 * Runs the daemon: reads its settings, creates its log, handles signals and sets the exit code.
 */
import process from 'node:process';
import bunyan from 'bunyan';
import {type Clock, systemClock} from '../seams/index.js';
import {type Settings, getPrintableSettings, parseSettings} from './settings.js';

/** Exit codes of the daemon. */
export const exitCodes = {
	/** Graceful stop, or `--help` and `--version`. */
	success: 0,
	/** The entry VM failed to start or to stop, or a violated invariant ended it. */
	failure: 1,
	/** A setting is invalid or missing. */
	wrongSettings: 2,
	/** The graceful stop took longer than its time limit. */
	stopTimeout: 3,
	/** A second signal ended the process immediately. */
	forced: 4,
} as const;

/** The service that the daemon runs. */
export type DaemonService = {
	/** Stops gracefully: accepts no new work, completes running work and transfers the job records. */
	close(): Promise<void>;
};

/** Starts the service that the daemon runs. */
export type StartDaemonService = (settings: Settings, log: bunyan) => Promise<DaemonService>;

/** The process services that the daemon uses, replaceable in tests. */
export type DaemonHost = {
	readonly argv: readonly string[];
	readonly env: Readonly<Record<string, string | undefined>>;
	readonly clock: Clock;
	writeOut(text: string): void;
	writeErr(text: string): void;
	onSignal(listener: (signal: string) => void): void;
	exit(code: number): void;
};

/** Options of {@link runDaemon}. */
export type RunDaemonOptions = {
	/** Version printed by `--version`. */
	readonly version?: string;
	readonly host?: DaemonHost;
};

/** Time allowed beyond `stopTimeoutMs` for transferring the records and closing. */
const handOverAllowanceMs = 15_000;

const stopSignals = ['SIGTERM', 'SIGINT'] as const;

/** Host for the running process. */
const processHost: DaemonHost = {
	argv: process.argv.slice(2),
	env: process.env,
	clock: systemClock,
	writeOut(text) {
		process.stdout.write(text);
	},
	writeErr(text) {
		process.stderr.write(text);
	},
	onSignal(listener) {
		for (const signal of stopSignals) {
			process.on(signal, listener);
		}
	},
	exit(code) {
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	},
};

/**
 * Runs the daemon until a signal stops it.
 * @param start - Starts the service that the daemon runs.
 * @param options - Version and host.
 */
export async function runDaemon(start: StartDaemonService, options: RunDaemonOptions = {}): Promise<void> {
	const host = options.host ?? processHost;
	const parsed = parseSettings(host.argv, host.env, {version: options.version});
	if (!parsed.ok) {
		exitWithoutSettings(host, parsed);
		return;
	}

	const {settings} = parsed;
	const log = createLog(settings, host);
	log.info({settings: getPrintableSettings(settings)}, 'starting');
	const firstSignal = waitForFirstSignal(host, log);
	let service: DaemonService;
	try {
		service = await start(settings, log);
	} catch (err) {
		log.fatal({err}, 'start failed');
		host.exit(exitCodes.failure);
		return;
	}

	log.info('started');
	await firstSignal;
	await closeService(service, settings, host, log);
}

function exitWithoutSettings(host: DaemonHost, parsed: Exclude<ReturnType<typeof parseSettings>, {readonly ok: true}>): void {
	if (parsed.kind === 'text') {
		host.writeOut(parsed.text);
		host.exit(exitCodes.success);
		return;
	}

	for (const fault of parsed.faults) {
		host.writeErr(`endivemilld: ${fault}\n`);
	}

	host.exit(exitCodes.wrongSettings);
}

function createLog(settings: Settings, host: DaemonHost): bunyan {
	const stream = {
		write(line: string): void {
			host.writeOut(line);
		},
	};
	return bunyan.createLogger({
		name: 'endivemilld',
		level: settings.logLevel,
		serializers: bunyan.stdSerializers,
		stream: stream as unknown as NodeJS.WritableStream,
		dataCenter: settings.dataCenter,
		vm: settings.vm,
	});
}

/** Waits for the first stop signal; a second one ends the process immediately. */
async function waitForFirstSignal(host: DaemonHost, log: bunyan): Promise<void> {
	return new Promise(resolve => {
		let isStopping = false;
		host.onSignal(signal => {
			if (isStopping) {
				log.warn({signal}, 'stopping immediately');
				host.exit(exitCodes.forced);
				return;
			}

			isStopping = true;
			log.info({signal}, 'stopping');
			resolve();
		});
	});
}

async function closeService(service: DaemonService, settings: Settings, host: DaemonHost, log: bunyan): Promise<void> {
	const timer = host.clock.setTimer(() => {
		log.error({stopTimeoutMs: settings.stopTimeoutMs}, 'graceful stop timed out');
		host.exit(exitCodes.stopTimeout);
	}, settings.stopTimeoutMs + handOverAllowanceMs);
	try {
		await service.close();
		log.info('stopped');
		host.exit(exitCodes.success);
	} catch (err) {
		log.fatal({err}, 'stop failed');
		host.exit(exitCodes.failure);
	} finally {
		timer.close();
	}
}

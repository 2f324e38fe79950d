/**
 * Entry point of the daemon of an entry VM on the platform.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import bunyan from 'bunyan';
import {parseSchedulingOptions} from '../scheduling/index.js';
import {createPlatformEntryVm} from './platform-entry-vm.js';
import {parseSettingsFile} from './settings-file.js';
import {StdoutLog} from './stdout-log.js';

/** Environment variable that holds the path of the settings file. */
const settingsVariable = 'ENDIVEMILL_CONFIG';

/** Environment variable that names the parts of the scheduling to turn off, separated by commas. */
const schedulingOffVariable = 'ENDIVEMILL_SCHEDULING_OFF';

const invalidSettingsExitCode = 2;

const stdout = new StdoutLog();
const stream = {
	write(line: unknown) {
		stdout.write(line as string);
	},
};
const logger = bunyan.createLogger({name: 'endivemill', streams: [{stream, level: 'debug'}]});

/** Reads and validates the settings; logs the faults and returns `undefined` if they are invalid. */
async function readSettings(): Promise<ReturnType<typeof parseSettingsFile> & {readonly ok: true} | undefined> {
	const path = process.env[settingsVariable];
	if (path === undefined) {
		logger.fatal({variable: settingsVariable}, 'environment variable with the path of the settings file is not set');
		return undefined;
	}

	try {
		const parsed = parseSettingsFile(await readFile(path, 'utf8'));
		if (parsed.ok) {
			return parsed;
		}

		logger.fatal({path, faults: parsed.faults}, 'invalid settings');
	} catch (err) {
		logger.fatal({path, err}, 'failed to read the settings file');
	}

	return undefined;
}

async function exit(code: number): Promise<void> {
	await stdout.drain();
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
}

async function run(): Promise<void> {
	const parsed = await readSettings();
	if (parsed === undefined) {
		await exit(invalidSettingsExitCode);
		return;
	}

	const starting = createPlatformEntryVm({
		settings: parsed.settings, logger, scheduling: parseSchedulingOptions(process.env[schedulingOffVariable]),
	});
	// Callers may connect before the start is complete.
	process.on('SIGTERM', async () => {
		const entryVm = await starting;
		await entryVm.close();
		await exit(0);
	});
	process.on('SIGHUP', async () => {
		// Addresses cannot change while the process runs; the new settings take effect at the next start.
		const reread = await readSettings();
		logger.info({isValid: reread !== undefined}, 'settings re-read');
	});
	await starting;
}

// The bundle is a CommonJS script, since only these support a code cache.
void run(); // eslint-disable-line unicorn/prefer-top-level-await

/**
 * The process services that commands use, replaceable in tests.
 */
import {userInfo} from 'node:os';
import process from 'node:process';
import {type Command} from 'commander';
import {
	type Clock, type Random, systemClock, systemRandom,
} from '../seams/index.js';
import {type ExitCode} from './exit-codes.js';

/** Environment, output and signals of the process that runs a command. */
export type CliHost = {
	readonly env: Readonly<Record<string, string | undefined>>;
	readonly clock: Clock;
	readonly random: Random;
	/** Whether standard output is a terminal that shows colours. */
	readonly isTerminal: boolean;
	/** Name of the user, the default author of a change. */
	readonly userName: string;
	writeOut(text: string): void;
	writeErr(text: string): void;

	/** Waits until the user interrupts the process. */
	waitForInterrupt(): Promise<void>;
};

/** Adds a command to the program. */
export type AddCommand = (program: Command, context: CliContext) => void;

/** Passed to each command when it is added. */
export type CliContext = {
	readonly host: CliHost;

	/**
	 * Sets the action of a command.
	 * @param command - Command to complete.
	 * @param run - Runs the command and resolves to its exit code.
	 */
	setAction<Options>(command: Command, run: (options: Options, args: readonly string[]) => Promise<ExitCode>): void;
};

const stopSignals = ['SIGINT', 'SIGTERM'] as const;

/** Host for the running process. */
export const processHost: CliHost = {
	env: process.env,
	clock: systemClock,
	random: systemRandom,
	isTerminal: process.stdout.isTTY && !process.env.NO_COLOR,
	userName: getUserName(),
	writeOut(text) {
		process.stdout.write(text);
	},
	writeErr(text) {
		process.stderr.write(text);
	},
	async waitForInterrupt() {
		await new Promise<void>(resolve => {
			for (const signal of stopSignals) {
				process.once(signal, () => {
					resolve();
				});
			}
		});
	},
};

function getUserName(): string {
	try {
		return userInfo().username;
	} catch {
		// The user id has no entry in the system's user database.
		return '';
	}
}

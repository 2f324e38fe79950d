/**
 * What the commands use of the process that they run in.
 */
import {userInfo} from 'node:os';
import process from 'node:process';
import {type Command} from 'commander';
import {
	type Clock, type Random, systemClock, systemRandom,
} from '../seams/index.js';
import {type ExitCode} from './exit-codes.js';

/** The process that the commands run in. */
export type CliHost = {
	readonly env: Readonly<Record<string, string | undefined>>;
	readonly clock: Clock;
	readonly random: Random;
	/** Whether standard output is a terminal that takes colours. */
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

/** What a command is given. */
export type CliContext = {
	readonly host: CliHost;

	/**
	 * Sets what a command does.
	 * @param command - Command to complete.
	 * @param run - Runs the command and gives its exit code.
	 */
	setAction<Options>(command: Command, run: (options: Options, args: readonly string[]) => Promise<ExitCode>): void;
};

const stopSignals = ['SIGINT', 'SIGTERM'] as const;

/** The running process. */
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
		// The user has no entry in the system's database.
		return '';
	}
}

/**
 * Runs `endivemill`: parses the command line and runs the command.
 */
import {Command, CommanderError} from 'commander';
import {type CliContext, type CliHost, processHost} from './cli-host.js';
import {commands} from './commands/index.js';
import {type ExitCode, exitCodes} from './exit-codes.js';

/** Options of {@link runCli}. */
export type RunCliOptions = {
	readonly host?: CliHost;
	/** Version printed by `--version`. */
	readonly version?: string;
};

/**
 * Runs one command; resolves to its exit code.
 * @param argv - Arguments after the program name.
 * @param options - Host and version.
 */
export async function runCli(argv: readonly string[], options: RunCliOptions = {}): Promise<ExitCode> {
	const host = options.host ?? processHost;
	let exitCode: ExitCode = exitCodes.success;
	const context: CliContext = {
		host,
		setAction<Options>(command: Command, run: (options: Options, args: readonly string[]) => Promise<ExitCode>) {
			command.action(async () => {
				exitCode = await run(command.opts() as Options, command.processedArgs as readonly string[]);
			});
		},
	};
	const program = createProgram(context, options.version ?? '0.0.0');
	try {
		await program.parseAsync([...argv], {from: 'user'});
		return exitCode;
	} catch (err) {
		if (!(err instanceof CommanderError)) {
			throw err;
		}

		return err.exitCode === 0 ? exitCodes.success : exitCodes.invalid;
	}
}

function createProgram(context: CliContext, version: string): Command {
	const {host} = context;
	// Commands added below inherit these settings.
	const program = new Command('endivemill')
		.description('Operates endivemill. A flag takes precedence over its environment variable.')
		.version(version)
		.showHelpAfterError('(--help shows the usage)')
		.enablePositionalOptions()
		.exitOverride()
		.configureOutput({
			writeOut(text) {
				host.writeOut(text);
			},
			writeErr(text) {
				host.writeErr(text);
			},
		});
	for (const addCommand of commands) {
		addCommand(program, context);
	}

	return program;
}

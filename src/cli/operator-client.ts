/**
 * Sends requests to the operator addresses of entry VMs.
 */
import {readFile} from 'node:fs/promises';
import {Agent, request} from 'undici';
import * as z from 'zod';
import {type Clock, systemClock} from '../seams/index.js';
import {type CliHost} from './cli-host.js';
import {getFlagOrVariable, type OperatorFlags} from './cli-options.js';

/** Options of an {@link OperatorClient}. */
export type OperatorClientOptions = {
	readonly clock?: Clock;
	readonly agent?: Agent;
	readonly isTls?: boolean;
	readonly token?: string;
	/** Time limit of a request in milliseconds. */
	readonly timeoutMs?: number;
};

/** The answer of an entry VM, or the reason why there is none. */
export type OperatorAnswer<T> =
	| {readonly ok: true; readonly value: T}
	| {readonly ok: false; readonly detail: string};

const defaultTimeoutMs = 2000;

/** HTTP client for the operator addresses of entry VMs. */
export class OperatorClient {
	readonly #clock: Clock;
	readonly #agent: Agent;
	readonly #scheme: string;
	readonly #headers: Record<string, string>;
	readonly #timeoutMs: number;

	constructor(options: OperatorClientOptions = {}) {
		this.#clock = options.clock ?? systemClock;
		this.#agent = options.agent ?? new Agent();
		this.#scheme = options.isTls ? 'https' : 'http';
		this.#headers = options.token ? {authorization: `Bearer ${options.token}`} : {};
		this.#timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
	}

	/**
	 * Gets a JSON value from an entry VM.
	 * @param address - Operator address of the entry VM.
	 * @param path - Path of the value, for instance `/v1/status`.
	 * @param schema - Schema of the value.
	 */
	async getJson<T>(address: string, path: string, schema: z.ZodType<T>): Promise<OperatorAnswer<T>> {
		return this.#send('GET', `${address}${path}`, schema);
	}

	/**
	 * Sends a command to an entry VM and gets its JSON answer.
	 * @param address - Operator address of the entry VM.
	 * @param path - Path of the command, for instance `/v1/drain`.
	 * @param schema - Schema of the answer.
	 */
	async postJson<T>(address: string, path: string, schema: z.ZodType<T>): Promise<OperatorAnswer<T>> {
		return this.#send('POST', `${address}${path}`, schema);
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #send<T>(method: 'GET' | 'POST', target: string, schema: z.ZodType<T>): Promise<OperatorAnswer<T>> {
		const controller = new AbortController();
		const timer = this.#clock.setTimer(() => {
			controller.abort(new Error(`no answer within ${this.#timeoutMs} ms`));
		}, this.#timeoutMs);
		try {
			const res = await request(`${this.#scheme}://${target}`, {
				method, dispatcher: this.#agent, headers: this.#headers, signal: controller.signal,
			});
			if (res.statusCode !== 200 && res.statusCode !== 202) {
				await res.body.dump();
				return {ok: false, detail: `status ${res.statusCode}`};
			}

			const parsed = schema.safeParse(await res.body.json());
			return parsed.success ? {ok: true, value: parsed.data} : {ok: false, detail: `unexpected answer: ${z.prettifyError(parsed.error)}`};
		} catch (err) {
			return {ok: false, detail: (err as Error).message};
		} finally {
			timer.close();
		}
	}
}

/**
 * Opens a client with the token and TLS files in the flags; prints an error and returns `undefined` when a file cannot be used.
 * @param flags - Flags of the command.
 * @param host - Host of the command.
 */
export async function openOperatorClient(flags: OperatorFlags, host: CliHost): Promise<OperatorClient | undefined> {
	const readOptionalFile = async (flag: string | undefined, variable: string): Promise<string | undefined> => {
		const file = getFlagOrVariable(flag, variable, host);
		return file === undefined ? undefined : readFile(file, 'utf8');
	};

	try {
		const token = await readOptionalFile(flags.operatorTokenFile, 'ENDIVEMILL_OPERATOR_TOKEN_FILE');
		const ca = await readOptionalFile(flags.operatorTlsCaFile, 'ENDIVEMILL_OPERATOR_TLS_CA_FILE');
		const cert = await readOptionalFile(flags.operatorTlsCertFile, 'ENDIVEMILL_OPERATOR_TLS_CERT_FILE');
		const key = await readOptionalFile(flags.operatorTlsKeyFile, 'ENDIVEMILL_OPERATOR_TLS_KEY_FILE');
		const agent = new Agent({connect: {ca, cert, key}});
		return new OperatorClient({
			clock: host.clock, agent, isTls: ca !== undefined, token: token?.trim(),
		});
	} catch (err) {
		host.writeErr(`error: ${(err as Error).message}\n`);
		return undefined;
	}
}

/**
 * HTTP control endpoint of the platform's stand-in; it has its own address so that it answers during faults.
 */
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import * as z from 'zod';
import {listedVmSchema} from '../platform/index.js';
import {readJson, sendJson} from './http-json.js';
import {platformFaultsSchema} from './platform-faults.js';
import {type PlatformStandIn} from './platform-stand-in.js';

const vmNameSchema = z.object({dataCenter: z.string(), name: z.string()});
const keySchema = z.object({key: z.string(), value: z.string()});

type Command = (json: unknown) => unknown;

/** Serves the commands that control a stand-in. */
export class StandInControl {
	readonly #commands: ReadonlyMap<string, Command>;
	readonly #address: {readonly host: string; readonly port: number};
	readonly #server = createServer((req, res) => {
		void this.#handle(req, res);
	});

	constructor(standIn: PlatformStandIn, address: {readonly host: string; readonly port: number}) {
		this.#address = address;
		this.#commands = new Map<string, Command>([
			['GET /fault', () => standIn.getFault()],
			['PUT /fault', async json => standIn.setFault(platformFaultsSchema.parse(json))],
			['GET /calls', () => standIn.getCallCounts()],
			['PUT /vm', json => standIn.addVm(listedVmSchema.parse(json))],
			['DELETE /vm', json => standIn.removeVm(vmNameSchema.parse(json))],
			['PUT /key', json => {
				const {key, value} = keySchema.parse(json);
				return standIn.putKey(key, value);
			}],
			['POST /compact', () => {
				standIn.compact();
			}],
			['POST /silence', () => {
				standIn.silenceConnections();
			}],
		]);
	}

	/** Opens the listener. */
	async listen(): Promise<void> {
		this.#server.listen(this.#address.port, this.#address.host);
		await once(this.#server, 'listening');
	}

	/** Gets the base URL. */
	getUrl(): string {
		const {port} = this.#server.address() as AddressInfo;
		return `http://${this.#address.host}:${port}`;
	}

	/** Closes the listener and all connections. */
	async close(): Promise<void> {
		const closed = once(this.#server, 'close');
		this.#server.close();
		this.#server.closeAllConnections();
		await closed;
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const json = await readJson(req);
		const command = this.#commands.get(`${req.method ?? ''} ${req.url ?? ''}`);
		if (!command) {
			sendJson(res, 404, {commands: [...this.#commands.keys()]});
			return;
		}

		try {
			sendJson(res, 200, await command(json) ?? {});
		} catch (err) {
			sendJson(res, 400, {error: String(err)});
		}
	}
}

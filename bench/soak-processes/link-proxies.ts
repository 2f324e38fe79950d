/**
 * Links between the VMs of a soak: each pair of a dialling and a listening VM has a proxy that delays, holds back or breaks off what it forwards.
 */
import {createServer, type Server, Socket} from 'node:net';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';

/** State of one direction between two VMs. */
type Direction = {
	/** Whether bytes are held back; they arrive when the direction is open again, as after a network partition. */
	isHeld: boolean;
	delayMs: number;
	/** Resolve the waits for the direction to be opened. */
	readonly waiters: Set<() => void>;
};

/** Proxies of all pairs of VMs, which are named by their positions. */
export class LinkProxies {
	readonly #directions: ReadonlyArray<readonly Direction[]>;
	readonly #servers: Server[] = [];
	readonly #sockets = new Map<string, Set<Socket>>();
	readonly #ports: Array<Record<string, number>> = [];

	/** @param addresses - Addresses of the VMs for each other, by position. */
	constructor(readonly addresses: readonly string[]) {
		this.#directions = addresses.map(() => addresses.map(() => ({isHeld: false, delayMs: 0, waiters: new Set()})));
	}

	/** Starts the proxies. */
	async listen(): Promise<void> {
		for (const dialer of this.addresses.keys()) {
			const ports: Record<string, number> = {};
			this.#ports.push(ports);
			for (const [listener, address] of this.addresses.entries()) {
				if (listener !== dialer) {
					ports[address] = await this.#createProxy(dialer, listener);
				}
			}
		}
	}

	/**
	 * Gets the ports of the proxies through which a VM reaches the others, by their addresses.
	 * @param position - Position of the VM.
	 */
	getPorts(position: number): Readonly<Record<string, number>> {
		return this.#ports[position]!;
	}

	/**
	 * Holds back what a VM sends to another one, or delivers it again.
	 * @param from - Position of the sender.
	 * @param to - Position of the receiver.
	 * @param isHeld - Whether it is held back.
	 */
	hold(from: number, to: number, isHeld: boolean): void {
		const direction = this.#directions[from]![to]!;
		direction.isHeld = isHeld;
		if (!isHeld) {
			for (const open of direction.waiters) {
				open();
			}

			direction.waiters.clear();
		}
	}

	/**
	 * Delays what a VM sends to another one.
	 * @param from - Position of the sender.
	 * @param to - Position of the receiver.
	 * @param delayMs - Delay in milliseconds; 0 for none.
	 */
	delay(from: number, to: number, delayMs: number): void {
		this.#directions[from]![to]!.delayMs = delayMs;
	}

	/**
	 * Resets all connections between two VMs.
	 * @param position - Position of one VM.
	 * @param otherPosition - Position of the other VM.
	 */
	reset(position: number, otherPosition: number): void {
		for (const key of [`${position} ${otherPosition}`, `${otherPosition} ${position}`]) {
			for (const socket of this.#sockets.get(key) ?? []) {
				socket.resetAndDestroy();
			}
		}
	}

	/** Closes all proxies and connections. */
	close(): void {
		for (const server of this.#servers) {
			server.close();
		}

		for (const sockets of this.#sockets.values()) {
			for (const socket of sockets) {
				socket.destroy();
			}
		}
	}

	async #createProxy(dialer: number, listener: number): Promise<number> {
		const sockets = new Set<Socket>();
		this.#sockets.set(`${dialer} ${listener}`, sockets);
		const server = createServer({allowHalfOpen: true}, incoming => {
			const [host, port] = this.addresses[listener]!.split(':');
			const outgoing = new Socket({allowHalfOpen: true});
			for (const socket of [incoming, outgoing]) {
				socket.setNoDelay(true);
				sockets.add(socket);
				socket.on('error', () => {/* Followed by its close. */});
				socket.once('close', () => {
					sockets.delete(socket);
					(socket === incoming ? outgoing : incoming).destroy();
				});
			}

			outgoing.connect({port: Number(port), host});
			void this.#forward(incoming, outgoing, this.#directions[dialer]![listener]!);
			void this.#forward(outgoing, incoming, this.#directions[listener]![dialer]!);
		});
		this.#servers.push(server);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		return (server.address() as {readonly port: number}).port;
	}

	/** Forwards bytes in order; the end of a connection waits as well. */
	async #forward(from: Socket, to: Socket, direction: Direction): Promise<void> {
		try {
			for await (const chunk of from) {
				await this.#waitForDelivery(direction);
				to.write(chunk as Uint8Array);
			}
		} catch {
			// The connection was reset; the other side is closed with it.
		}

		await this.#waitForDelivery(direction);
		to.end();
	}

	async #waitForDelivery(direction: Direction): Promise<void> {
		if (direction.delayMs > 0) {
			await delay(direction.delayMs);
		}

		while (direction.isHeld) {
			await new Promise<void>(resolve => {
				direction.waiters.add(resolve);
			});
		}
	}
}

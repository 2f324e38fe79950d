/**
 * Proxies of the links of the machines, to each other and to the minions: what is sent over a link that is cut is dropped, and no new connection over it
 * is answered.
 */
import {once} from 'node:events';
import {connect, createServer} from 'node:net';

export class Links {
	#machines;
	#ends;
	#ports = new Map();
	#servers = [];
	/** Open connections by the zones of their ends, as pairs of sockets. */
	#pairs = [];
	#cutZone;

	/** Machines and minions, each with `address` and `zone`. */
	constructor(machines, minions) {
		this.#machines = machines;
		this.#ends = [...machines, ...minions];
	}

	async start() {
		for (const machine of this.#machines) {
			const ports = {};
			this.#ports.set(machine.address, ports);
			for (const end of this.#ends) {
				if (end !== machine && end.zone !== machine.zone) {
					ports[end.address] = await this.#listen(machine, end);
				}
			}
		}
	}

	/** Gets the ports of the proxies through which a machine reaches what is in other zones, by addresses. */
	getPorts(address) {
		return this.#ports.get(address);
	}

	/** Cuts a zone off from the others, without a reset. */
	cutZone(zone) {
		this.#cutZone = zone;
	}

	/** Ends the cut; the connections that were open during it have lost bytes, and are reset. */
	heal() {
		const zone = this.#cutZone;
		this.#cutZone = undefined;
		for (const {zones, sockets} of this.#pairs) {
			if (zones.includes(zone)) {
				for (const socket of sockets) {
					socket.resetAndDestroy();
				}
			}
		}
	}

	close() {
		for (const server of this.#servers) {
			server.close();
		}

		for (const {sockets} of this.#pairs) {
			for (const socket of sockets) {
				socket.destroy();
			}
		}
	}

	async #listen(from, to) {
		const zones = [from.zone, to.zone];
		const isCut = () => zones.includes(this.#cutZone);
		const server = createServer({allowHalfOpen: true}, incoming => {
			const [host, port] = to.address.split(':');
			const outgoing = connect({host, port: Number(port), allowHalfOpen: true});
			const sockets = [incoming, outgoing];
			this.#pairs.push({zones, sockets});
			for (const [socket, other] of [sockets, sockets.toReversed()]) {
				socket.setNoDelay(true);
				socket.on('data', chunk => {
					if (!isCut()) {
						other.write(chunk);
					}
				});
				socket.on('end', () => {
					if (!isCut()) {
						other.end();
					}
				});
				socket.on('error', () => {/* Followed by its close. */});
				socket.on('close', () => {
					if (!isCut()) {
						other.destroy();
					}
				});
			}
		});
		this.#servers.push(server);
		server.listen({host: '127.0.0.1', port: 0});
		await once(server, 'listening');
		return server.address().port;
	}
}

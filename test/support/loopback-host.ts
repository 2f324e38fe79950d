/**
 * A loopback address for listeners that are opened again on the same port.
 */
import process from 'node:process';

/** Loopback address that only this process listens on, so that a free port stays free. */
export const loopbackHost = `127.${64 + (process.pid % 64)}.${Math.floor(process.pid / 64) % 256}.${1 + (Math.floor(process.pid / 16_384) % 254)}`;

/**
 * Certificates and keys for tests.
 */
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

export function getTlsFile(name: string): string {
	return fileURLToPath(new URL(`../fixtures/tls/${name}.pem`, import.meta.url));
}

export function readTlsFile(name: string): string {
	return readFileSync(getTlsFile(name), 'utf8');
}

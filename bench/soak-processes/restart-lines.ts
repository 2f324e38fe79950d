/**
 * Reads from the logs of the VMs why tasks were started again.
 */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {restartMessage} from '../../src/pool/index.js';
import {type TimedLine} from '../../src/testing/restart-gaps.js';
import {getSharedTime} from './history.js';

/**
 * Reads the lines of all logs of a folder. The last lines of a VM that was killed are missing.
 * @param folder - Folder of the logs.
 */
export function readRestartLines(folder: string): readonly TimedLine[] {
	const sharedOffsetMs = getSharedTime() - Date.now();
	const texts = readdirSync(folder).filter(name => name.endsWith('.log')).map(name => readFileSync(path.join(folder, name), 'utf8'));
	return texts.flatMap(text => text.split('\n')).flatMap(line => parseLine(line, sharedOffsetMs));
}

/**
 * Parses a line of a log; lines of other messages and those that a kill cut off are left out.
 * @param line - Line.
 * @param sharedOffsetMs - What the clock that all processes share is ahead of the wall clock, in milliseconds.
 */
export function parseLine(line: string, sharedOffsetMs: number): readonly TimedLine[] {
	if (!line.includes(`"${restartMessage}"`)) {
		return [];
	}

	try {
		const {time, msg: message, ...fields} = JSON.parse(line) as Readonly<Record<string, unknown>>;
		return message === restartMessage ? [{at: Date.parse(String(time)) + sharedOffsetMs, message, fields}] : [];
	} catch {
		return [];
	}
}

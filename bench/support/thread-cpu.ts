/**
 * Processor time of the main thread alone, without the worker threads that run stand-ins and callers.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';

const nanosecondsPerMicrosecond = 1000;

/** Gets the processor time that the main thread has used, in microseconds (Linux). */
export async function getMainThreadCpuUs(): Promise<number> {
	const line = await readFile(`/proc/self/task/${process.pid}/schedstat`, 'utf8');
	return Number(line.split(' ')[0]) / nanosecondsPerMicrosecond;
}

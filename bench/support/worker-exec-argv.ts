/**
 * Arguments of Node for worker threads, by whether the measurement runs as TypeScript or compiled.
 */
import {tsWorkerExecArgv} from '../../test/support/ts-worker.js';

/** Arguments of Node for a worker thread of a measurement. */
export const workerExecArgv: readonly string[] = import.meta.url.endsWith('.ts') ? tsWorkerExecArgv : [];

/**
 * Node.js arguments for worker threads, depending on whether the benchmark runs as TypeScript or compiled.
 */
import {tsWorkerExecArgv} from '../../test/support/ts-worker.js';

/** Node.js arguments for a worker thread of a benchmark. */
export const workerExecArgv: readonly string[] = import.meta.url.endsWith('.ts') ? tsWorkerExecArgv : [];

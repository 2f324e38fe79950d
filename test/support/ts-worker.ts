/**
 * Enables TypeScript in worker threads; Node.js 20 does not apply the loader of the main thread to them.
 */
const source = `import {register} from '${import.meta.resolve('tsx/esm/api')}'; register();`;

/** Node.js arguments for a worker thread whose entry point is TypeScript. */
export const tsWorkerExecArgv: readonly string[] = ['--import', `data:text/javascript,${encodeURIComponent(source)}`];

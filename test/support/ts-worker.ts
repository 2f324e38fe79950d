/**
 * Lets worker threads run TypeScript; Node 20 does not pass the loader of the main thread on.
 */
const source = `import {register} from '${import.meta.resolve('tsx/esm/api')}'; register();`;

/** Arguments of Node for a worker thread whose entry is TypeScript. */
export const tsWorkerExecArgv: readonly string[] = ['--import', `data:text/javascript,${encodeURIComponent(source)}`];

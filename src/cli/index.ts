export * from './cli-host.js';
export * from './configuration-store.js';
export * from './exit-codes.js';
export * from './run-cli.js';
export * from './version-wait.js';

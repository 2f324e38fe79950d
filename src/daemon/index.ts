export * from './run-daemon.js';
export * from './settings.js';

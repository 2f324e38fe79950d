export * from './configuration.js';
export * from './parse-configuration.js';
export * from './reference-faults.js';

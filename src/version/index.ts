export * from './built-in-profiles.js';
export * from './configuration.js';
export * from './declaration-fault.js';
export * from './declarations-json-schema.js';
export * from './diff-declarations.js';
export * from './parse-configuration.js';
export * from './parse-declarations.js';
export * from './reference-faults.js';

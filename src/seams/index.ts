export * from './backoff.js';
export * from './clock.js';
export * from './random.js';

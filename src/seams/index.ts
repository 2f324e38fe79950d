export * from './clock.js';
export * from './random.js';

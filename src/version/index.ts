export * from './configuration.js';

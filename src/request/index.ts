export * from './upstream-request-rules.js';

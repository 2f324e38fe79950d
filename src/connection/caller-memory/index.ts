export * from './caller-limits.js';
export {
	CallerMemory, type CallerMemoryCounters, type CallerMemoryOptions, type RefusalCause,
} from './caller-memory.js';
export * from './choose-refused.js';
export * from './request-body.js';

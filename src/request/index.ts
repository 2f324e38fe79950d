export * from './caller-answer.js';
export * from './job-body.js';
export * from './job-id.js';
export * from './job.js';
export * from './submission.js';
export * from './upstream-request-rules.js';

export * from './admission.js';
export * from './coldness.js';
export * from './duration-estimator.js';
export * from './offered-load.js';
export * from './overdue.js';
export * from './placement.js';
export * from './pool-choice.js';
export * from './queue-order.js';

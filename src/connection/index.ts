export type * from './peer-network.js';

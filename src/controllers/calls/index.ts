export * from './batching.js';
export * from './claimants.js';
export * from './constants.js';
export * from './judge.js';
export * from './keys.js';
export * from './messages.js';
export * from './record.js';
export * from './step.js';
export type * from './types.js';

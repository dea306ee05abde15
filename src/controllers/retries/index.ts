export { createRetryState, recordRequest, type RetryState } from './budget.js';
export * from './decide.js';
export * from './given-up.js';
export type * from './types.js';

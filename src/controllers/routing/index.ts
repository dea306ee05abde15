export { lastCacheSequence, recordCacheEvents } from './beliefs.js';
export * from './dispatch.js';
export * from './instances.js';
export * from './prefixes.js';
export * from './priorities.js';
export { offerRequest, withdrawRequest } from './queues.js';
export * from './reports.js';
export { createDispatchState, type DispatchState } from './state.js';
export type * from './types.js';

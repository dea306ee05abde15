export { lastCacheSequence, recordCacheEvents } from './prefix-cache.js';
export * from './dispatch.js';
export * from './instance-selection.js';
export * from './prefixes.js';
export * from './priorities.js';
export { offerRequest, withdrawRequest } from './queues.js';
export * from './sent-requests.js';
export { createDispatchState, type DispatchState } from './state.js';
export type * from './types.js';

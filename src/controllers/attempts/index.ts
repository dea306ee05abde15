export * from './call-handling.js';
export * from './callers.js';
export * from './conclusion.js';
export * from './exclusion.js';
export * from './state.js';
export type * from './types.js';

export * from './create-callers.js';
export type * from './types.js';

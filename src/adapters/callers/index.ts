export * from './create-callers.js';
export * from './grace.js';
export type * from './types.js';

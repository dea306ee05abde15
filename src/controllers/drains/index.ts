export * from './drain-safety.js';
export * from './targets.js';
export type * from './types.js';

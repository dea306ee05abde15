export * from './judge.js';
export * from './targets.js';
export type * from './types.js';

export * from './prefixes.js';
export type * from './types.js';

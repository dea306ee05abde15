export * from './create-operators.js';
export type * from './types.js';

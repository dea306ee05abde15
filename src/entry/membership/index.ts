export * from './create-membership.js';
export type * from './types.js';

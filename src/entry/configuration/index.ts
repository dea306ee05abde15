export * from './create-configuration.js';
export type * from './types.js';

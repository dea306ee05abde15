export * from './protocol.js';
export type * from './types.js';

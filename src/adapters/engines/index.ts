export * from './engine-client.js';
export * from './protocol.js';
export type * from './types.js';

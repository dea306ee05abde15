export * from './client.js';
export * from './protocol.js';
export type * from './types.js';
export * from './watch-loop.js';

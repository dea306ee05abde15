export * from './client.js';
export * from './rpc-link.js';
export * from './rpc-listener.js';
export * from './server.js';
export type * from './types.js';

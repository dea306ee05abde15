export * from './client.js';
export * from './headers.js';
export type * from './types.js';

export * from './create-gateway.js';
export * from './run-gateway.js';
export * from './settings.js';
export type * from './types.js';

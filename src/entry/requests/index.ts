export * from './create-requests.js';
export type * from './types.js';

export type * from './types.js';

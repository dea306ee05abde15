export * from './board.js';
export * from './section.js';
export type * from './types.js';

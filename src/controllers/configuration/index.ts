export * from './merge.js';
export * from './sections.js';
export * from './types.js';

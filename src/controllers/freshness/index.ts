export * from './bounds.js';
export * from './proof.js';
export * from './proven.js';

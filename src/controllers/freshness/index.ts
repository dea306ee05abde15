export * from './bounds.js';
export * from './proof.js';

export * from './proof.js';

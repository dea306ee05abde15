export * from './dev.js';

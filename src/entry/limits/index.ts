export * from './create-limits.js';

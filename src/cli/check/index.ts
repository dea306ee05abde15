export * from './check.js';

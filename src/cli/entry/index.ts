export * from './entry.js';

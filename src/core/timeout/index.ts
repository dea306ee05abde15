export * from './progress.js';
export * from './timeout.js';

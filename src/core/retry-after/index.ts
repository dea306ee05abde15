export * from './retry-after.js';

export * from './timeout.js';

export * from './status.js';

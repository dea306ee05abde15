export * from './create-operations.js';

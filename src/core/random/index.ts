export * from './random.js';

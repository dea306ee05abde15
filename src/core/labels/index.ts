export * from './labels.js';

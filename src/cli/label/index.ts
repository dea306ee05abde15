export * from './label.js';

export * from './explain.js';

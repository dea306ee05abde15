export * from './get.js';

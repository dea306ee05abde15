export * from './apply.js';

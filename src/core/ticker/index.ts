export * from './ticker.js';

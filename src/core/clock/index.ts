export * from './clock.js';

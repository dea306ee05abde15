export * from './listener.js';

export * from './once-calls.js';

export * from './pending-input.js';

export * from './input-first-queue.js';
export * from './pending-input.js';

export * from './answer-budget.js';
export * from './chunks.js';
export * from './held-body.js';
export * from './status.js';

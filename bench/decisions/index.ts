export * from './model.js';
export * from './placements.js';

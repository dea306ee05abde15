export * from './demand.js';
export * from './load-slots.js';
export * from './orders.js';
export * from './ownership.js';
export * from './revise.js';
export * from './targets.js';
export * from './types.js';
export * from './view.js';

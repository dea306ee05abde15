export * from './first-event-times.js';
export * from './queue-order.js';
export * from './capacity.js';
export * from './useful-time.js';
export * from './fair-order.js';
export * from './retry-after.js';

export * from './first-event-times.js';
export * from './line.js';
export * from './room.js';

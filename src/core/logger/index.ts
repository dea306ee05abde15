export * from './events.js';
export * from './logger.js';

export * from './once-calls.js';
export * from './record-collector.js';

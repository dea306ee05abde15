export * from './acceptance.js';
export * from './client.js';
export * from './command.js';
export * from './failures.js';
export * from './messages.js';

export * from './connection-refused.js';
export * from './hard-reset.js';

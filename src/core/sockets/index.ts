export * from './connection-close.js';
export * from './connection-refused.js';
export * from './connector.js';
export * from './departure.js';
export * from './interim-responses.js';
export * from './paused-parser.js';
export * from './received-bytes.js';
export * from './reset-at-end.js';

export * from './hash-fingerprint.js';
export * from './quarantine-table.js';
export * from './types.js';

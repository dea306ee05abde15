export * from './quarantine-table.js';
export * from './types.js';

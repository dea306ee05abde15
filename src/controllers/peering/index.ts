export * from './lag.js';
export * from './load.js';
export * from './peer-table.js';
export * from './reports.js';
export * from './speeds.js';
export * from './types.js';
export * from './limits.js';
export * from './observe-members.js';

export * from './link-table.js';

export * from './rest-table.js';

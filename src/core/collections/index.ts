export * from './group-by.js';
export * from './keep-latest.js';

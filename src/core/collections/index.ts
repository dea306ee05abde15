export * from './group-by.js';
export * from './memoize-latest.js';

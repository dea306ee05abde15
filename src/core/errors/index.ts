export * from './catalogue.js';
export * from './failure.js';

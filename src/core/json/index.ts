export * from './json.js';

export * from './buffered-bytes.js';

export * from './held-bytes.js';

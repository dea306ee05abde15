export * from './chunks.js';

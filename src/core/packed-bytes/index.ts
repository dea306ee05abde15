export * from './packed-bytes.js';

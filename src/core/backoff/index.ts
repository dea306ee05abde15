export * from './backoff.js';

export * from './metrics.js';

export * from './health-part.js';

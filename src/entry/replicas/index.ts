export * from './replicas-part.js';

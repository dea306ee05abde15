export * from './schemas.js';

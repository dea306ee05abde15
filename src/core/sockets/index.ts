export * from './hard-reset.js';

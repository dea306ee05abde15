export * from './proxy.js';

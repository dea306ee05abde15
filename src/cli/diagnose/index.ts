export * from './diagnose.js';

export * from './drain.js';

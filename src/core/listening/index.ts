export * from './listening.js';

export * from './stand-in.js';

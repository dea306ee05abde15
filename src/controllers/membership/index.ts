export * from './gossip.js';
export * from './leaving.js';
export * from './messages.js';

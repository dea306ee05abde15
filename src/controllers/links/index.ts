export * from './link-table.js';
export * from './relay-peers.js';

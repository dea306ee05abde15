export * from './fleet-members.js';
export * from './observe-digest.js';

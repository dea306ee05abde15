export * from './cold-servers.js';
export * from './connection-share.js';
export * from './fleet-members.js';
export * from './limit-reports.js';
export * from './server-limits.js';

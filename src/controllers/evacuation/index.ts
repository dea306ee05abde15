export * from './evacuations.js';
export * from './return-share.js';
export * from './startup.js';
export * from './types.js';

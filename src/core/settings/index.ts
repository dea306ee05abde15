export * from './entry-settings.js';
export * from './issues.js';
export * from './load.js';

export * from './entry-settings.js';
export * from './issues.js';
export * from './load.js';
export * from './toml.js';

export * from './entry-settings.js';

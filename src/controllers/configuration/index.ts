export * from './merge.js';
export * from './sections.js';
export * from './types.js';
export * from './acceptance.js';
export * from './readiness.js';
export * from './validate.js';

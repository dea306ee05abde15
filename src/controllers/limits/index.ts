export * from './admission.js';
export * from './types.js';

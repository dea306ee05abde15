export * from './configuration-delta.js';
export * from './delivery.js';
export * from './proof-questions.js';
export * from './version-pursuit.js';

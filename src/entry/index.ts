export * from './create-entry.js';
export type { RunningEntry } from './types.js';

export * from './create-entry.js';
export type { RunningEntry } from './running-entry.js';

export type { CallCounters } from './call-rates.js';
export type { JournalEntry } from './journal.js';
export * from './stand-in.js';

export * from './admission.js';
export { observeEntries, settleMs } from './entry-view.js';
export * from './limit-digest.js';
export { maxWatchMs, type EntryListStatus } from './entry-list.js';
export { acceptGrant, decideLoans } from './loans.js';
export { createShareState, type ShareOptions, type ShareState } from './share-state.js';
export * from './shares.js';
export * from './types.js';

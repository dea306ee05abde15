export * from './create-requests.js';
export { createRequestQuarantine, type RequestQuarantine } from './request-quarantine.js';
export type * from './types.js';

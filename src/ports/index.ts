export type * from './serving.js';
export type * from './fleet.js';
export type * from './object-store.js';
export type * from './orders.js';
export type * from './requests.js';
export type * from './server-notices.js';

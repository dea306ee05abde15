export type { ServiceControl } from './control.js';
export type { ServiceJournal } from './journal.js';
export { createServiceStandIn, type ServiceStandIn } from './service.js';

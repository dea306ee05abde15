export type { CallFault, ServiceControl } from './control.js';
export type { JournaledRun, ServiceJournal } from './journal.js';
export {
  createServiceStandIn,
  type ServiceStandIn,
  type ServiceStandInSettings,
} from './service.js';

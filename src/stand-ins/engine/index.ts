export { expectedAnswer } from './answers.js';
export type { CompletionFault, EngineControl } from './control.js';
export { createEngineStandIn, type EngineStandIn } from './engine.js';
export type { EngineJournal } from './journal.js';
export type { EngineStandInSettings } from './settings.js';

/**
 * What others embed: the board and every decision, without sockets, timers or a wall clock.
 */
export type * from './adapters/engines/protocol.js';
export * from './board/index.js';
export * from './controllers/attempts/index.js';
export * from './controllers/configuration/index.js';
export * from './controllers/drains/index.js';
export * from './controllers/health/index.js';
export * from './controllers/replicas/index.js';
export * from './controllers/membership/index.js';
export * from './controllers/calls/index.js';
export * from './controllers/status/index.js';
export * from './core/clock/index.js';
export * from './core/errors/index.js';
export * from './core/labels/index.js';
export * from './core/random/index.js';
export * from './objects/index.js';
export * from './controllers/limits/index.js';
export * from './controllers/retries/index.js';
export * from './controllers/routing/index.js';

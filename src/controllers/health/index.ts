export * from './eligible-replicas.js';
export * from './eligibility.js';
export * from './member-loss.js';
export * from './health-digest.js';
export * from './probes.js';
export * from './record.js';

export * from './eligible.js';
export * from './gate.js';
export * from './loss.js';
export * from './passing.js';
export * from './probes.js';
export * from './record.js';

export * from './expected-times.js';
export * from './late-ticks.js';
export * from './server-speeds.js';
export * from './speed-reports.js';
export * from './target-speed.js';

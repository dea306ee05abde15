export type { ProxyControl } from './link.js';
export * from './proxy.js';

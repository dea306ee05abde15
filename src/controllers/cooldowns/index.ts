export * from './cooldown-table.js';

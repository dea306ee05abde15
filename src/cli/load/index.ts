export { runLoadCommand } from './load.js';

/**
 * Ends the processes that scenarios left behind. Apart from `processes.ts`, which programs outside
 * cucumber use as well.
 */
import { AfterAll } from '@cucumber/cucumber';
import { killProcesses } from './processes.js';

AfterAll(() => {
  killProcesses();
});

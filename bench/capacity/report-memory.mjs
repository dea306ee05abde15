/**
 * Loaded into a process under measurement before its program: on SIGUSR2 it collects garbage and
 * tells its parent what memory is in use.
 */
import process from 'node:process';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc');

process.on('SIGUSR2', () => {
  collectGarbage();
  const { heapUsed, external, rss } = process.memoryUsage();
  process.send?.({ heapBytes: heapUsed + external, residentBytes: rss });
});
// A benchmark that fails half-way must leave no process behind.
process.on('disconnect', () => process.exit());
process.channel?.unref();

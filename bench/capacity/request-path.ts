/**
 * The request path of an entry alone, idle: what control is compared with.
 */
import { createBenchEntry } from '../relay/entry.js';

const callers = await createBenchEntry('127.0.0.1:1').listen();
console.log(JSON.stringify({ listening: { callers } }));

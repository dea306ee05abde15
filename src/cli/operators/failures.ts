/**
 * How a failure of a call to an entry ends a command.
 */
import type { Exit } from '../exit-codes.js';
import { printFailures } from '../output.js';
import type { OperatorsFailure } from './client.js';

/** Prints `failure` and says how the command ends. */
export function endWithFailure(failure: OperatorsFailure): Exit {
  printFailures([failure]);
  for (const fault of failure.faults) process.stderr.write(`  ${fault}\n`);
  switch (failure.kind) {
    case 'unreachable':
    case 'platformUnavailable':
    case 'platformOutcomeUnknown':
    case 'messageInvalid':
      return 'unreachable';
    default:
      return 'refused';
  }
}

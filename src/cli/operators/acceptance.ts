/**
 * Waiting until a change is in force at every live entry.
 */
import type { ResultAsync } from 'neverthrow';
import * as z from 'zod';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Exit } from '../exit-codes.js';
import { printLine } from '../output.js';
import type { OperatorsClient, OperatorsFailure } from './client.js';

const revision = z.number().int().nonnegative();

const acceptanceSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('accepted'), revision }),
  z.object({
    kind: z.literal('pending'),
    revision,
    /** Entries that do not have the change in force; without a revision when they are not heard. */
    lagging: z.array(z.object({ name: z.string(), revision: revision.optional() })),
  }),
]);

/** Whether a revision is in force everywhere, else who lacks it. */
export type AcceptanceAnswer = z.infer<typeof acceptanceSchema>;

/** Waits for `waitMs` at most until `of` is accepted. */
export function awaitAcceptance(
  client: OperatorsClient,
  of: number,
  waitMs: Milliseconds,
): ResultAsync<AcceptanceAnswer, OperatorsFailure> {
  const path = `/acceptance/${of}?wait=${waitMs}`;
  return client.call({ method: 'GET', path, schema: acceptanceSchema });
}

/** One line for people. */
export function printAcceptance(answer: AcceptanceAnswer): void {
  switch (answer.kind) {
    case 'accepted':
      printLine(`accepted: revision ${answer.revision} is in force at every live entry`);
      return;
    case 'pending':
      printLine(`pending: revision ${answer.revision} is not in force at ${listLagging(answer)}`);
      return;
  }
}

function listLagging({ lagging }: Extract<AcceptanceAnswer, { kind: 'pending' }>): string {
  return lagging
    .map(({ name, revision: has }) => `${name} (${has === undefined ? 'not heard' : `has ${has}`})`)
    .join(', ');
}

/** How a command ends that waited for `answer`. */
export function endWithAcceptance({ kind }: AcceptanceAnswer): Exit {
  return kind === 'accepted' ? 'done' : 'pending';
}

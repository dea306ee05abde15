/**
 * `yuccasail drain`: asks that a backend server gets no new work, and waits until it may be stopped.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { createSystemClock, type Milliseconds } from '../../core/clock/index.js';
import type { Exit } from '../exit-codes.js';
import {
  appliedChangeSchema,
  endWithFailure,
  OPERATORS_HELP,
  parseOperatorsCommand,
  type OperatorsClient,
  type OperatorsFailure,
} from '../operators/index.js';
import { printJson, printLine } from '../output.js';

const HELP = `
Usage
  $ yuccasail drain <instance>

Options${OPERATORS_HELP}
  --wait-ms    How long to wait until the instance may be stopped (default: 10000)

Marks the instance as leaving. Exits with 0 when every live entry has reported nothing in flight
there and the instance says the same: only then stop it. Exits with 5 while something holds it up.
`;

const LOOK_EVERY_MS = 200;

const holderSchema = z.object({
  kind: z.string(),
  entry: z.string().optional(),
  count: z.number().optional(),
});
const drainsSchema = z.object({
  drains: z.array(
    z.object({
      target: z.string(),
      kind: z.string(),
      judgement: z.discriminatedUnion('kind', [
        z.object({ kind: z.literal('safe') }),
        z.object({ kind: z.literal('waiting'), holders: z.array(holderSchema) }),
      ]),
    }),
  ),
});

type Holder = z.infer<typeof holderSchema>;

/** How far a drain has come. */
type Progress =
  /** This entry has not learned of the drain. */
  { kind: 'unseen' } | { kind: 'safe' } | { kind: 'waiting'; holders: readonly Holder[] };

export async function runDrain(argv: readonly string[]): Promise<Exit> {
  const args = parseOperatorsCommand(HELP, argv, ({ length }) => length === 1);
  const { client, json, waitMs } = args;
  const [instance = ''] = args.input;
  const asked = await client.call({
    method: 'POST',
    path: `/drain/${encodeURIComponent(instance)}`,
    schema: appliedChangeSchema,
  });
  if (asked.isErr()) return endWithFailure(asked.error);
  const progress = await watchDrain(client, instance, waitMs);
  if (progress.isErr()) return endWithFailure(progress.error);
  if (json) printJson({ instance, ...progress.value });
  else printLine(`${instance}: ${describeProgress(progress.value)}`);
  return progress.value.kind === 'safe' ? 'done' : 'pending';
}

async function watchDrain(
  client: OperatorsClient,
  instance: string,
  waitMs: Milliseconds,
): Promise<Result<Progress, OperatorsFailure>> {
  const clock = createSystemClock();
  const endAt = clock.now() + waitMs;
  for (;;) {
    const progress = await readProgress(client, instance);
    const isOver = progress.isErr() || progress.value.kind === 'safe' || clock.now() >= endAt;
    if (isOver) return progress;
    await sleep(LOOK_EVERY_MS);
  }
}

async function readProgress(
  client: OperatorsClient,
  instance: string,
): Promise<Result<Progress, OperatorsFailure>> {
  const answer = await client.call({ method: 'GET', path: '/drains', schema: drainsSchema });
  if (answer.isErr()) return err(answer.error);
  const drain = answer.value.drains.find(({ target }) => target === instance);
  return ok(drain?.judgement ?? { kind: 'unseen' });
}

function describeProgress(progress: Progress): string {
  switch (progress.kind) {
    case 'safe':
      return 'drained, may be stopped';
    case 'unseen':
      return 'marked as leaving; this entry has not learned of it';
    case 'waiting':
      return `draining, held up by ${progress.holders.map(describeHolder).join(', ')}`;
  }
}

function describeHolder({ kind, entry, count }: Holder): string {
  const where = entry ?? 'the instance itself';
  if (count !== undefined) return `${count} in flight at ${where}`;
  return kind === 'unconfirmed' ? `${where}, which has not confirmed` : where;
}

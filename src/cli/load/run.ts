/**
 * Performs a load run: sends each request when it is due, whatever became of those before it.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent } from 'undici';
import { createSystemClock } from '../../core/clock/index.js';
import { createRandom } from '../../core/random/index.js';
import { generateArrivals, type Arrival } from './arrivals.js';
import type { LoadPlan } from './plan.js';
import { createRecorder, type StreamSummary } from './recorder.js';
import { sendOne } from './send.js';

/** Above this, arrivals are counted as not sent: the tool's own memory must stay bounded. */
const MAX_IN_FLIGHT = 5_000;
const ANSWER_TIMEOUT_MS = 120_000;
const NO_SPANS = { gapsMs: [], totalMs: 0 };

/**
 * Runs `plan` against the entries at `targets`, in turn, and sums up the answers.
 *
 * @example const streams = await runLoad(plan, ['127.0.0.1:8080']);
 */
export async function runLoad(
  plan: LoadPlan,
  targets: readonly string[],
): Promise<StreamSummary[]> {
  const clock = createSystemClock();
  const recorder = createRecorder();
  const agent = new Agent({ headersTimeout: ANSWER_TIMEOUT_MS, bodyTimeout: ANSWER_TIMEOUT_MS });
  const inFlight = new Set<Promise<void>>();
  const startedAt = clock.now();

  const send = async ({ at, stream, index }: Arrival): Promise<void> => {
    const target = targets[index % targets.length] ?? '';
    const sending = { target, stream, index, dueAt: startedAt + at };
    const { outcome, spans } = await sendOne(sending, agent, clock);
    recorder.record(stream.name, outcome, spans);
  };

  for (const arrival of generateArrivals(plan, createRandom(plan.seed))) {
    const waitMs = startedAt + arrival.at - clock.now();
    if (waitMs > 0) await sleep(waitMs);
    if (inFlight.size >= MAX_IN_FLIGHT) {
      recorder.record(arrival.stream.name, { kind: 'notSent' }, NO_SPANS);
      continue;
    }
    const sent = send(arrival).finally(() => inFlight.delete(sent));
    inFlight.add(sent);
  }
  await Promise.all(inFlight);
  await agent.close();
  return recorder.summarise();
}

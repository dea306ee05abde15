/**
 * Sends a message to another gateway until it is confirmed. Receivers accept copies.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { MAX_SENDINGS, REPEAT_AFTER_MS } from '../../controllers/propagation/index.js';

/** Resolves with the first confirmation; rejects like the last sending if none is confirmed. */
export async function deliverRepeatedly(send: () => Promise<void>): Promise<void> {
  const sendings: Promise<void>[] = [];
  for (let left = MAX_SENDINGS - 1; left > 0; left -= 1) {
    sendings.push(send());
    if (await isConfirmedSoon(sendings)) return;
  }
  await Promise.any([...sendings, send()]);
}

/** Waits for the whole time after a failure too, which may end sooner than its cause. */
async function isConfirmedSoon(sendings: readonly Promise<void>[]): Promise<boolean> {
  const timeout = sleep(REPEAT_AFTER_MS, false, { ref: false });
  const confirmed = Promise.any(sendings).then(
    () => true,
    () => timeout,
  );
  return Promise.race([confirmed, timeout]);
}

/**
 * Whether an engine takes a completion now. Pure.
 */
import type { EngineRefusal, EngineRequest } from '../../adapters/engines/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { ReplicaState } from './replica-state.js';
import type { Fencing } from './settings.js';

/** What the answer depends on besides the replica. */
interface AdmissionState {
  held: ReplicaState;
  leaving: boolean;
  fencing: Fencing;
  /** The queue is full. */
  full: boolean;
  /** The attempt's id is in use. */
  running: boolean;
  /** When a place may be free, when the queue is full. */
  retryAfterMs: Milliseconds;
}

/** Undefined when the engine takes `request`; otherwise nothing of it has run. */
export function refuseCompletion(
  request: EngineRequest,
  { held, leaving, fencing, full, running, retryAfterMs }: AdmissionState,
): EngineRefusal | undefined {
  const { formed, state } = held;
  if (leaving) return notReady('leaving');
  if (state !== 'ready' || formed?.rank !== 0) return notReady('not leading a whole replica');
  if (formed.model !== request.model) return notReady(`serving ${formed.model}`);
  // An entry with an old plan sends to a replica that this engine has left since, or that was
  // formed anew of other members. An engine without fencing does not notice.
  const isOther = formed.replica !== request.replica || formed.fence !== request.fence;
  if (isOther && fencing === 'checked') return notReady('in another replica');
  if (running) return { refusal: 'invalid', reason: 'the attempt is running' };
  if (full) return { refusal: 'overloaded', reason: 'the queue is full', retryAfterMs };
  return undefined;
}

function notReady(reason: string): EngineRefusal {
  return { refusal: 'notReady', reason };
}

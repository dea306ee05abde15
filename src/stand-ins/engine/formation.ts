/**
 * An engine's way into a replica: loading the weights and watching the other members.
 */
import type { Engines } from '../../adapters/engines/index.js';
import { loadWeights, type Weights } from './loader.js';
import { watchMembers } from './member-watch.js';
import type { FormOrder } from './replica-state.js';
import type { ResolvedSettings } from './settings.js';

/** What the formation tells the engine. */
interface FormationListener {
  /** The weights are there and set up. */
  loaded(): void;
  /** Every watched member is in the replica; called again with each look. */
  allJoined(): void;
  /** A member is gone. */
  lost(): void;
}

/** At most one replica at a time. */
interface Formation {
  /** Ends what went before. */
  begin(order: FormOrder): void;
  end(): void;
}

/** Weights that were loaded once stay in memory until others are. */
export function createFormation(
  settings: ResolvedSettings,
  engines: Pick<Engines, 'health'>,
  listener: FormationListener,
): Formation {
  let current = new AbortController();
  let weights: Weights | undefined;

  const load = async (order: FormOrder, signal: AbortSignal): Promise<void> => {
    const wanted = { model: order.model, version: order.weights };
    if (weights?.model !== wanted.model || weights.version !== wanted.version) {
      weights = undefined;
      await loadWeights(settings, wanted, signal);
      weights = wanted;
    }
    await loadWeights({ weightStore: undefined, loadMs: settings.startMs }, wanted, signal);
    signal.throwIfAborted();
    listener.loaded();
  };

  return {
    begin: (order) => {
      current.abort();
      current = new AbortController();
      // Loading rejects only when the engine has been ordered elsewhere in the meantime.
      load(order, current.signal).catch(() => undefined);
      if (order.members.length === 1) listener.allJoined();
      else void watchMembers(engines, order, settings, listener, current.signal);
    },
    end: () => {
      current.abort();
    },
  };
}

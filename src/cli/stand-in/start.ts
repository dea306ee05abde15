/**
 * Starts a stand-in; only the code of its kind is loaded.
 */
import type { Result } from 'neverthrow';
import type { Failure } from '../../core/errors/index.js';
import type { StandInOptions } from './options.js';

/** A stand-in that listens. */
export interface StartedStandIn {
  /** `host:port`. */
  address: string;
  /** Where a proxy's control routes are. */
  controlAddress?: string | undefined;
  stop: () => Promise<void>;
}

/** Fails with `unreachable` when the address can't be bound. */
export async function startStandIn(
  options: StandInOptions,
): Promise<Result<StartedStandIn, Failure<'unreachable'>>> {
  switch (options.kind) {
    case 'platform': {
      const { createPlatformStandIn } = await import('../../stand-ins/platform/index.js');
      return createPlatformStandIn({ ...options, address: options.listen });
    }
    case 'engine': {
      const { createEngineStandIn } = await import('../../stand-ins/engine/index.js');
      return createEngineStandIn(options);
    }
    case 'service': {
      const { createServiceStandIn } = await import('../../stand-ins/service/index.js');
      return createServiceStandIn(options);
    }
    case 'weights': {
      const { createWeightStore } = await import('../../stand-ins/weights/index.js');
      return createWeightStore(options);
    }
    case 'proxy': {
      const { createProxy } = await import('../../stand-ins/proxy/index.js');
      return createProxy(options);
    }
  }
}

/**
 * One connection through the proxy: the socket of its source, that of its target, and two pipes.
 */
import { connect, type Socket } from 'node:net';
import type { HostAndPort } from '../../core/listening/index.js';
import type { Link, Way } from './link.js';
import { createPipe } from './pipe.js';
import { resetSocket } from './reset-socket.js';

export interface ProxyConnection {
  hold(ways: readonly Way[]): void;
  release(): void;
  /** Delivers what an outage has kept back. */
  resume(): void;
  /** Resets both sides. */
  reset(): void;
  /** Whether bytes were swallowed on it. */
  isLossy(): boolean;
}

/** Joins `source` to a new connection to `target`. `onClose` is called once, when both are gone. */
export function joinConnection(
  source: Socket,
  target: HostAndPort,
  link: Link,
  onClose: () => void,
): ProxyConnection {
  const destination = connect({ ...target, allowHalfOpen: true, noDelay: true });
  let isLossy = false;
  const onLost = (): void => {
    isLossy = true;
  };

  const toTarget = createPipe(source, destination, link.toTarget, {
    onLost,
    onBreak: () => {
      close(destination, source);
    },
  });
  const toSource = createPipe(destination, source, link.toSource, {
    onLost,
    onBreak: () => {
      close(source, destination);
    },
  });

  /** The receiver still gets what was delivered, the sender a reset. */
  const close = (receiver: Socket, sender: Socket): void => {
    toTarget.close();
    toSource.close();
    receiver.destroySoon();
    resetSocket(sender);
  };

  const reset = (): void => {
    toTarget.close();
    toSource.close();
    resetSocket(source);
    resetSocket(destination);
  };

  for (const socket of [source, destination]) {
    // The pipes see an error as the close that follows it.
    socket.on('error', () => undefined);
    socket.on('close', () => {
      if (source.destroyed && destination.destroyed) onClose();
    });
  }

  return {
    hold: (ways) => {
      if (ways.includes('toTarget')) toTarget.hold();
      if (ways.includes('toSource')) toSource.hold();
    },
    release: () => {
      toTarget.release();
      toSource.release();
    },
    resume: () => {
      toTarget.resume();
      toSource.resume();
    },
    reset,
    isLossy: () => isLossy,
  };
}

/**
 * Passes suspicions on to other gateways, one call to each of them at a time.
 *
 * Many gateways of a large fleet suspect a server at about the same time. What comes while a call is under way
 * goes with the next one, so that a hub and its members are not kept busy by calls alone.
 */
import {
  ageSuspicion,
  type KnownPeer,
  type ReportedSuspicion,
} from '../../controllers/peering/index.js';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import { whenInputIsRead } from '../../core/pending-input/index.js';

interface WaitingSuspicion {
  suspicion: ReportedSuspicion;
  since: Milliseconds;
}

/** Sends suspicions to one gateway; never rejects. */
type SendSuspicions = (peer: KnownPeer, suspicions: readonly ReportedSuspicion[]) => Promise<void>;

export class SuspicionRelay {
  /** What waits for the end of the call that is under way, by the gateway's address and by server. */
  private readonly waiting = new Map<string, Map<string, WaitingSuspicion>>();

  constructor(
    private readonly clock: Clock,
    private readonly send: SendSuspicions,
  ) {}

  relay(peers: readonly KnownPeer[], suspicions: readonly ReportedSuspicion[]): void {
    const since = this.clock.now();
    for (const peer of peers) {
      const waiting = this.waiting.get(peer.address);
      if (waiting === undefined) void this.sendTo(peer, suspicions);
      else for (const suspicion of suspicions) waiting.set(suspicion.server, { suspicion, since });
    }
  }

  private async sendTo(peer: KnownPeer, suspicions: readonly ReportedSuspicion[]): Promise<void> {
    const waiting = new Map<string, WaitingSuspicion>();
    this.waiting.set(peer.address, waiting);
    for (let next = suspicions; next.length > 0; next = this.takeWaiting(waiting)) {
      const sent = next;
      await whenInputIsRead(() => this.send(peer, sent));
    }
    this.waiting.delete(peer.address);
  }

  private takeWaiting(waiting: Map<string, WaitingSuspicion>): ReportedSuspicion[] {
    const now = this.clock.now();
    const all = [...waiting.values()];
    waiting.clear();
    return all.flatMap(({ suspicion, since }) => ageSuspicion(suspicion, now - since));
  }
}

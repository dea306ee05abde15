/**
 * Simulates how a fleet learns of evacuations, on the peering model and with a simulated store.
 */
import type { EvacuationState } from '../../src/controllers/evacuation/index.js';
import { computeProofBounds, laterProof, proofAge } from '../../src/controllers/freshness/index.js';
import { PEERING_TICK_MS } from '../../src/controllers/peering/index.js';
import { PeeringModel, type ModelGateway } from './peering-model.js';

/** A call to the store that is under way. */
interface PendingCall {
  sentAt: number;
  answerAt: number;
  state: EvacuationState;
}

/**
 * Watches bring nothing here: only polls tell of changes, the worst case of a store whose watches hang.
 */
export class EvacuationModel {
  readonly peering: PeeringModel;
  /** Gateways that are paused: they neither exchange nor learn anything. */
  readonly frozen = new Set<ModelGateway>();
  /** Whether hubs tell of changes at once. */
  sendsNotices = true;
  storeCalls = 0;
  private state: EvacuationState = { revision: 1, domains: [] };
  private readonly pending = new Map<ModelGateway, PendingCall>();

  constructor(
    domains: number,
    size: number,
    private readonly evacuateMs: number,
    private readonly storeDelayMs: number,
  ) {
    this.peering = new PeeringModel(domains, size);
    for (const gateway of this.peering.gateways)
      gateway.onEvacuations = (state) => {
        this.relay(gateway, state);
      };
  }

  get now(): number {
    return this.peering.now;
  }

  /** Writes the evacuated failure domains to the store. */
  write(domains: readonly string[]): void {
    this.state = { revision: this.state.revision + 1, domains: [...domains] };
  }

  freeze(gateway: ModelGateway): void {
    gateway.isAlive = false;
    this.frozen.add(gateway);
    this.pending.delete(gateway);
  }

  run(ms: number): void {
    const until = this.now + ms;
    while (this.now < until) {
      this.peering.run(PEERING_TICK_MS);
      for (const gateway of this.peering.alive) this.callStore(gateway);
    }
  }

  /** Gateways in service that do not know the state of the store. */
  listUnaware(): string[] {
    const wanted = [...this.state.domains].sort().join();
    return this.peering.alive
      .filter(({ evacuations }) => [...evacuations.domains].sort().join() !== wanted)
      .map(({ name }) => name);
  }

  private relay(gateway: ModelGateway, state: EvacuationState): void {
    if (!this.sendsNotices || !gateway.table.isHub()) return;
    for (const { name } of gateway.table.listRelayPeers()) {
      const other = this.peering.alive.find((each) => each.name === name);
      if (!other || gateway.unreachable.has(name) || other.unreachable.has(gateway.name)) continue;
      other.applyEvacuations(state, this.now);
    }
  }

  private callStore(gateway: ModelGateway): void {
    const call = this.pending.get(gateway);
    if (call && this.now >= call.answerAt) {
      this.pending.delete(gateway);
      gateway.applyEvacuations(call.state, this.now);
      const offered = { at: call.sentAt, source: 'store' } as const;
      gateway.evacuationProof = laterProof(gateway.evacuationProof, offered);
    }
    if (this.pending.has(gateway) || !gateway.storeReachable || !this.mustCall(gateway)) return;
    this.storeCalls += 1;
    const { now, state } = this;
    this.pending.set(gateway, { sentAt: now, answerAt: now + this.storeDelayMs, state });
  }

  /** As in the follow control: a hub polls, the others once their proof is too old. */
  private mustCall({ table, evacuationProof }: ModelGateway): boolean {
    const bounds = computeProofBounds(this.evacuateMs);
    const age = proofAge(evacuationProof, this.now) ?? Infinity;
    if (table.isHub()) return age >= bounds.recheckAfterMs;
    return age > bounds.fallbackAfterMs(table.hubInterval());
  }
}

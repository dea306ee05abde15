/**
 * Backend servers of a fleet: entries in the store, and one replica and one plain server that answer.
 */
import type { FleetChange } from '../../src/controllers/forwarding/index.js';
import type { BackendServer } from '../../src/ports/index.js';
import { decodeServer } from '../../platform/servers.js';
import { EngineStandIn } from '../../features/gateway/stand-ins/engine.js';
import { MODEL } from '../../features/gateway/stand-ins/configuration.js';
import type { StoreStandIn } from '../../features/gateway/stand-ins/store.js';

/** Members of a replica of the example configuration. */
const REPLICA_SIZE = 2;
/** Instances of a fabric domain. */
const DOMAIN_SIZE = 19;
/** Events of each stream. */
const EVENTS = 22;
const GAP_MS = 8;
/** Nobody listens there. */
const FIRST_PORT = 20_000;

const KIND = 'servers';
const HEAD = 'engine-0';

export class StandInFleet {
  private readonly answering: EngineStandIn[] = [];
  private headAddress = '';

  constructor(
    private readonly store: StoreStandIn,
    private readonly engines: number,
    private readonly failureDomains: readonly string[],
  ) {}

  /** All replicas are formed; the first is open, and answers. */
  async open(): Promise<void> {
    const [zone = ''] = this.failureDomains;
    const common = { zone, store: this.store, journal: [], events: EVENTS, gapMs: GAP_MS };
    const plain = new EngineStandIn({ ...common, id: 'plain-0', service: 'app' });
    await plain.listen();
    const head = new EngineStandIn({ ...common, id: HEAD, service: 'models', domain: 'fabric-0' });
    head.membership = { name: 'replica-0', epoch: 1, rank: 0, state: 'open', members: [HEAD] };
    await head.listen();
    this.answering.push(plain, head);
    this.headAddress = head.address;
    for (let index = 0; index < this.engines; index += 1) this.put(index);
  }

  /** Heads of all replicas with one request each. */
  listLoad(): (readonly [string, number])[] {
    const heads = Math.floor(this.engines / REPLICA_SIZE);
    return Array.from({ length: heads }, (_, index) => [`engine-${index * REPLICA_SIZE}`, 1]);
  }

  /** Changes what one engine holds on its host; returns it as gateways tell each other. */
  change(index: number, staged: string): FleetChange {
    const entry = this.put(index, [MODEL, staged]);
    return { kind: 'present', server: entry };
  }

  close(): void {
    for (const server of this.answering) server.close();
  }

  private put(index: number, staged: readonly string[] = [MODEL]): BackendServer {
    const domain = Math.floor(index / DOMAIN_SIZE);
    const replica = Math.floor(index / REPLICA_SIZE);
    const name = `engine-${index}`;
    const rank = index % REPLICA_SIZE;
    // The measured gateway owns none of them, and sends no orders to those that don't answer.
    const far = this.failureDomains.slice(1);
    const entry = {
      service: 'models',
      address: name === HEAD ? this.headAddress : `127.0.0.1:${FIRST_PORT + index}`,
      zone: far[domain % far.length],
      version: 'v1',
      slots: 12,
      state: 'ready',
      born: 1_700_000_000_000,
      sequence: 1,
      cold_remaining_ms: 0,
      stage: 'dual',
      models: [{ name: MODEL, version: 1, adapters: [] }],
      domain: `fabric-${domain}`,
      staged,
      group: {
        name: `replica-${replica}`,
        epoch: 1,
        rank,
        state: name === HEAD ? 'open' : 'ready',
      },
    };
    this.store.put(KIND, name, entry);
    const server = decodeServer(name, entry);
    if (server === undefined) throw new Error(`the entry of ${name} can't be read`);
    return server;
  }
}

/**
 * This entry's copy of all domain plans: the source of the board's `plans` section and of ownership
 * decisions.
 */
import type { Versioned } from '../../board/index.js';
import {
  createDomainState,
  observePlan,
  type DomainState,
  type OwnerIdentity,
  type StoredPlan,
} from '../../controllers/replicas/index.js';
import {
  domainPlanSchema,
  storedObjectSchema,
  type DomainPlan,
  type StoredObject,
} from '../../objects/index.js';
import type { EntryContext } from '../types.js';

/** The states of all domains known to this entry. */
export interface PlanStore {
  read(domain: string): DomainState;
  write(domain: string, state: DomainState): void;
  /** Merges plans from a watch or a peer; ignores older versions and invalid plans. */
  merge(objects: readonly StoredObject[]): void;
  /** The plan in `object`; undefined for a tombstone, another kind or an invalid value. */
  parse(object: StoredObject): StoredPlan | undefined;
  /** The plans as stored objects, for entries that cannot reach the platform. */
  exportObjects(): StoredObject[];
}

/** Creates an empty store. Every write that changes the version of a plan updates the board. */
export function createPlanStore(context: EntryContext, self: OwnerIdentity): PlanStore {
  const { clock, logger, writers } = context;
  const states = new Map<string, DomainState>();

  /** Creates the state of an unknown domain; its lease period counts from this first read. */
  function read(domain: string): DomainState {
    const known = states.get(domain);
    if (known !== undefined) return known;
    const created = createDomainState(clock.now());
    states.set(domain, created);
    return created;
  }

  function publish(): void {
    const plans = new Map<string, Versioned<DomainPlan>>();
    for (const [domain, { stored }] of states) {
      if (stored !== undefined) plans.set(domain, { version: stored.version, value: stored.plan });
    }
    writers.plans.write(plans);
  }

  function write(domain: string, state: DomainState): void {
    const previousVersion = states.get(domain)?.stored?.version;
    states.set(domain, state);
    if (state.stored?.version !== previousVersion) publish();
  }

  function parse(object: StoredObject): StoredPlan | undefined {
    if (object.kind !== 'domain-plan' || object.deleted) return undefined;
    const parsed = domainPlanSchema.safeParse(object.value);
    if (!parsed.success) {
      logger.log('planUnreadable', { domain: object.name, reason: parsed.error.message });
      return undefined;
    }
    return { version: object.version, nonce: object.nonce, plan: parsed.data };
  }

  return {
    read,
    write,
    parse,
    merge: (objects) => {
      const now = clock.now();
      for (const object of objects) {
        const stored = parse(object);
        if (stored === undefined) continue;
        write(object.name, observePlan(read(object.name), stored, self, now));
      }
    },
    exportObjects: () =>
      [...states].flatMap(([name, { stored }]) => {
        if (stored === undefined) return [];
        const { version, nonce, plan } = stored;
        const object = { kind: 'domain-plan', name, version, nonce, deleted: false, value: plan };
        return [storedObjectSchema.parse(object)];
      }),
  };
}

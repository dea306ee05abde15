/**
 * What the other parts of an entry use of its configuration part.
 */
import type { Section } from '../../board/index.js';
import type {
  ChangePage,
  InstanceList,
  ObjectChanges,
} from '../../controllers/configuration/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Part } from '../types.js';

/** Keeps the objects of one entry current and writes the `configuration` section. */
export interface ConfigurationPart extends Part {
  /** The platform's list of instances, for `membership`. */
  instances: Section<InstanceList>;
  /** Every change up to this revision is in force here. */
  revision(): number;
  /** The newest object version held here; beyond the revision after a write of its own. */
  newest(): number;
  /** A valid version of some object may be had from peers only, and none has been asked yet. */
  needsPeer(): boolean;
  /** When the platform last confirmed what is in force here. */
  platformAt(): Milliseconds;
  /** Whether this entry watches the platform, and is answered. */
  platformContact(): 'reached' | 'unreached' | 'unwatched';
  /** What a peer that has everything up to `since` still needs. */
  changesSince(since: number): ChangePage;
  /** Merges what a peer or this entry's own write brought. */
  merge(changes: ObjectChanges): void;
  /** A peer has nothing newer than what is in force here. */
  confirm(): void;
  /** Fetches what a peer has more, one fetch at a time; a failed one is left to the next round. */
  pull(address: string): void;
  /** Starts or ends this entry's own watch of the platform. */
  setWatching(isWatching: boolean): void;
  /** Asks the platform for what is missing here; resolves when it answered, or after its timeout. */
  refresh(): Promise<void>;
  /** Does the same, one at a time, to learn whether the platform is there. */
  probe(): void;
}

/**
 * The interface of an entry's configuration part.
 */
import type { Section } from '../../board/index.js';
import type {
  ChangePage,
  InstanceList,
  ObjectChanges,
} from '../../controllers/configuration/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Part } from '../types.js';

/** Keeps the objects of one entry up to date and writes the `configuration` section. */
export interface ConfigurationPart extends Part {
  /** The platform's list of instances, for `membership`. */
  instances: Section<InstanceList>;
  /** The revision up to which every change is applied here. */
  revision(): number;
  /** The newest object version held here; exceeds the revision after a write by this entry. */
  newestVersion(): number;
  /** Whether only a peer may have a valid version of some object, and none has been pulled from. */
  needsPeer(): boolean;
  /** When the platform last confirmed the configuration applied here. */
  platformAt(): Milliseconds;
  /** Whether this entry watches the platform, and whether the platform answers. */
  platformContact(): 'reached' | 'unreached' | 'unwatched';
  /** The changes after `since`, for a peer. */
  changesSince(since: number): ChangePage;
  /** Merges changes from a peer or from this entry's own write. */
  merge(changes: ObjectChanges): void;
  /** Records that no peer has anything newer than the configuration applied here. */
  confirm(): void;
  /** Fetches missing changes from a peer, one pull at a time; the next round retries a failure. */
  pull(address: string): void;
  /** Starts or stops this entry's own watch of the platform. */
  setWatching(isWatching: boolean): void;
  /** Fetches missing changes from the platform; resolves when it has answered or timed out. */
  refresh(): Promise<void>;
  /** Starts a refresh, one at a time, to test whether the platform is reachable. */
  probe(): void;
}

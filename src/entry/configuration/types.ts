/**
 * What the other parts of an entry use of its configuration part.
 */
import type {
  ChangePage,
  InstanceList,
  ObjectChanges,
} from '../../controllers/configuration/index.js';
import type { Section } from '../../board/index.js';
import type { Part } from '../types.js';

/** Keeps the objects of one entry current and writes the `configuration` section. */
export interface ConfigurationPart extends Part {
  /** The platform's list of instances, for `membership`. */
  instances: Section<InstanceList>;
  /** What a peer that has everything up to `since` still needs. */
  changesSince(since: number): ChangePage;
  /** Merges what a peer or this entry's own write brought. */
  merge(changes: ObjectChanges): void;
}

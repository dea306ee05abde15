/**
 * The board of one entry: in-memory state through which its controllers share observations and
 * decisions.
 */
import { policySchema } from '../objects/index.js';
import { createSection } from './section.js';
import type { BoardWriters } from './types.js';

/**
 * Creates an empty board. Pass each writable section to only one controller; readers may get all.
 *
 * @example const board = createBoard(); board.fleet.write({ ...board.fleet.read(), revision: 7 });
 */
export function createBoard(): BoardWriters {
  return {
    configuration: createSection({
      revision: 0,
      models: new Map(),
      services: new Map(),
      workspaces: new Map(),
      policy: policySchema.parse({}),
      rejected: [],
      confirmedAt: Number.NEGATIVE_INFINITY,
    }),
    fleet: createSection({ revision: 0, instances: new Map(), leaving: new Set<string>() }),
    plans: createSection(new Map()),
    health: createSection(new Map()),
    load: createSection(new Map()),
    peers: createSection(new Map()),
    limits: createSection(new Map()),
    attempts: createSection({ inFlight: new Map(), sent: [], demands: [] }),
  };
}

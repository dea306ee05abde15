/**
 * Messages between gateways other than digests: catch-up data, fleet updates and notices of new
 * configuration versions.
 */
import * as z from 'zod';
import type { FleetVersion } from '../../controllers/forwarding/index.js';
import type { Digest } from '../../controllers/peering/index.js';
import { configurationDeltaSchema } from '../../controllers/propagation/index.js';
import type { BackendServer } from '../../ports/index.js';
import type { FleetSnapshot, FleetUpdate } from '../store/fleet-part.js';

const MAX_ID_CHARACTERS = 256;
const nonNegativeSchema = z.number().nonnegative();
const backendServerSchema: z.ZodType<BackendServer> = z.object({
  id: z.string(),
  service: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  slots: z.number(),
  leaving: z.boolean(),
  startedAt: z.number().exactOptional(),
  coldForMs: z.number().nonnegative().exactOptional(),
  entryRevision: z.number().nonnegative().exactOptional(),
  engine: z
    .object({
      fabricDomain: z.string(),
      staged: z.array(z.string()),
      model: z.string().exactOptional(),
      lastModel: z.string().exactOptional(),
      membership: z
        .object({
          group: z.string(),
          epoch: z.number(),
          rank: z.number(),
          state: z.enum(['joining', 'ready', 'open', 'closing', 'broken']),
        })
        .exactOptional(),
    })
    .exactOptional(),
});

export const fleetUpdateSchema: z.ZodType<FleetUpdate> = z.object({
  since: nonNegativeSchema,
  revision: nonNegativeSchema,
  absentInMs: nonNegativeSchema,
  changes: z.array(
    z.discriminatedUnion('kind', [
      z.object({ kind: z.literal('present'), server: backendServerSchema }),
      z.object({ kind: z.literal('absent'), id: z.string() }),
      z.object({ kind: z.literal('unreadable'), id: z.string() }),
    ]),
  ),
  isWhole: z.boolean().exactOptional(),
  fingerprint: z.string().max(64).exactOptional(),
});

export const versionsSchema = z.object({
  configurationVersion: nonNegativeSchema,
  fleetRevision: nonNegativeSchema,
});

/**
 * Notice of a new configuration version, with the difference to the one before. Kept small because a hub
 * sends it to many peers at once: a large difference is left out.
 */
export const configurationNoticeSchema = z.object({
  configurationVersion: nonNegativeSchema,
  delta: configurationDeltaSchema.optional(),
  /** Address of the sender. */
  holder: z.string().max(MAX_ID_CHARACTERS).optional(),
});

export type ConfigurationNotice = z.infer<typeof configurationNoticeSchema>;

/** What a gateway has active, and how long ago that was known to be the newest. */
export type FreshnessReport = Pick<
  Digest,
  'configurationVersion' | 'configurationAgeMs' | 'fleetAgeMs' | keyof FleetVersion
>;

/** Names the backend server to check for another gateway. */
export const serverIdSchema = z.object({ server: z.string().max(MAX_ID_CHARACTERS) });

/** Response to a catch-up call. Holds only the state that is newer than the caller's. */
export interface CatchUpResponse {
  /** Compressed, see `packConfiguration`. */
  configuration?: string;
  configurationVersion?: number;
  fleet?: FleetSnapshot;
}

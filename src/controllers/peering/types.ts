/**
 * Schemas of the digests that gateways exchange, and types derived from them.
 */
import * as z from 'zod';
import type { Milliseconds } from '../../core/clock/index.js';
import { evacuationReportSchema } from '../evacuation/index.js';
import { requestReportSchema, quarantineNoticeSchema } from '../quarantine/index.js';
import { limitReportSchema } from '../quotas/index.js';
import { speedReportSchema } from '../speed/index.js';

const nonNegativeSchema = z.number().nonnegative();
/** Requests in flight by backend server. */
const loadSchema = z.array(z.tuple([z.string(), nonNegativeSchema])).max(10_000);
/** Stalled backend servers, with the time since detection and the remaining time out of service. */
export const suspicionsSchema = z
  .array(z.object({ server: z.string(), ageMs: nonNegativeSchema, leftMs: nonNegativeSchema }))
  .max(10_000);

/** Recent observations on requests that may crash backend servers. */
const reportsSchema = z.array(requestReportSchema).max(10_000);
/** Rates that backend servers name. */
const limitsSchema = z.array(limitReportSchema).max(10_000);
/** Backend servers that are slower than usual. */
const speedsSchema = z.array(speedReportSchema).max(1_000);

/** Gateways pass on all that they know of each other, in messages of limited size. */
const peerTextSchema = z.string().max(256);

export const knownPeerSchema = z.object({
  name: peerTextSchema,
  address: peerTextSchema,
  failureDomain: peerTextSchema,
});

/** Services whose servers a gateway does not reach over its own links; absent if there are none. */
const cutOffFromSchema = z.array(z.string()).max(1_000).optional();

const gatewayStatusSchema = knownPeerSchema.extend({
  incarnation: z.string(),
  /** Fingerprint of the members by which the gateway divides limits of the fleet. */
  membersHash: z.string().max(64).optional(),
  storeReachable: z.boolean(),
  cutOffFrom: cutOffFromSchema,
  stopping: z.boolean(),
  /** Whether the gateway has had a request to forward since its start. */
  hasServed: z.boolean(),
  configurationVersion: nonNegativeSchema,
  fleetRevision: nonNegativeSchema,
  /** The store's revision of the list that the fleet is from; absent if it has changed since. */
  fleetListRevision: nonNegativeSchema.optional(),
  /** Fingerprint of the names of all entries of backend servers. */
  fleetFingerprint: z.string().max(64).optional(),
  /** Time since the version was proven to be the newest; absent if it never was. */
  configurationAgeMs: nonNegativeSchema.optional(),
  /** Time since the fleet revision was proven to be the newest; absent if it never was. */
  fleetAgeMs: nonNegativeSchema.optional(),
});

/** State of all gateways of one failure domain, summarized by its hub. */
const domainSummarySchema = z.object({
  failureDomain: z.string(),
  /** Time since the summary was created. */
  ageMs: nonNegativeSchema,
  /** Whether any of the gateways has had a request to forward. */
  hasServed: z.boolean(),
  /** The fingerprint that all of the gateways have; absent if they differ. */
  membersHash: z.string().max(64).optional(),
  members: z
    .array(
      z.object({
        name: z.string(),
        address: z.string(),
        storeReachable: z.boolean(),
        cutOffFrom: cutOffFromSchema,
        ageMs: nonNegativeSchema,
      }),
    )
    .max(1_000),
  /** Gateways of the domain that are stopping, or no longer heard by the hub. Others may just be unknown. */
  gone: z.array(z.string()).max(1_000).optional(),
  /** Load of the domain. In a summary sent to a member of the domain, load of all other gateways. */
  load: loadSchema,
  suspicions: suspicionsSchema,
  reports: reportsSchema.optional(),
  limits: limitsSchema.optional(),
  speeds: speedsSchema.optional(),
});

export const digestSchema = gatewayStatusSchema.extend({
  load: loadSchema,
  suspicions: suspicionsSchema,
  reports: reportsSchema.optional(),
  limits: limitsSchema.optional(),
  /** Absent if the sender does not know or follow evacuations. */
  evacuations: evacuationReportSchema.optional(),
  speeds: speedsSchema.optional(),
  /** All requests that the sender has quarantined. */
  quarantined: z.array(quarantineNoticeSchema).max(1_000).optional(),
  /** Summary of the sender's failure domain, and summaries that it forwards. */
  summaries: z.array(domainSummarySchema).max(1_000).optional(),
  /** All gateways known to the sender, sent on request. */
  known: z.array(knownPeerSchema).max(2_000).optional(),
  asksForKnown: z.boolean().optional(),
});

/** Name and location of a gateway. */
export type KnownPeer = z.infer<typeof knownPeerSchema>;
/** State of one gateway, plus domain summaries if it is a hub. */
export type Digest = z.infer<typeof digestSchema>;
export type DomainSummary = z.infer<typeof domainSummarySchema>;
export type ReportedSuspicion = DomainSummary['suspicions'][number];

/** Another gateway that is considered alive. */
export interface GatewayPeer extends KnownPeer {
  /** When any gateway last heard from it directly, on the local clock. */
  lastHeardAt: Milliseconds;
  storeReachable: boolean;
  /** Services whose servers it does not reach over its own links. */
  cutOffFrom: readonly string[];
  /** Whether it, or any gateway of its failure domain, has had a request to forward. */
  hasServed: boolean;
}

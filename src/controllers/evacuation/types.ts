/**
 * Types of evacuations, and the schemas of those that gateways exchange.
 */
import * as z from 'zod';
import type { Milliseconds } from '../../core/clock/index.js';

/** Longer names are no failure domains. */
export const MAX_NAME_CHARACTERS = 256;
/** Evacuations that a message may carry. */
export const MAX_REPORTED_DOMAINS = 1_000;

/** All evacuated failure domains at one qualified revision of the store. */
export const evacuationStateSchema = z.object({
  revision: z.number().nonnegative(),
  domains: z.array(z.string().max(MAX_NAME_CHARACTERS)).max(MAX_REPORTED_DOMAINS),
});

/** The same in a digest. Whole, so that a gateway that lags needs no further call. */
export const evacuationReportSchema = evacuationStateSchema.extend({
  /** Time since the state was proven to be the newest; absent if it never was. */
  ageMs: z.number().nonnegative().optional(),
});

export type EvacuationState = z.infer<typeof evacuationStateSchema>;
export type EvacuationReport = z.infer<typeof evacuationReportSchema>;

/** What a gateway knows of evacuations. Immutable. */
export interface Evacuations {
  /** `assumedNone`: neither the store nor a peer answered in time after the start. */
  source: 'none' | 'assumedNone' | 'known';
  /** Qualified revision that `domains` is complete up to; 0 unless known. */
  revision: number;
  domains: ReadonlySet<string>;
  /** When the evacuations that have ended recently were known to have ended. */
  endedAt: ReadonlyMap<string, Milliseconds>;
}

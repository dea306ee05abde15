/**
 * What gateways tell each other of requests under which backend servers end.
 */
import * as z from 'zod';

const spanMs = z.number().nonnegative();

export const requestReportSchema = z.discriminatedUnion('kind', [
  /** A backend server ended while it had the request. */
  z.object({
    kind: z.literal('serverEnded'),
    fingerprint: z.string(),
    server: z.string(),
    ageMs: spanMs,
  }),
  /** A backend server answered the request and lives. */
  z.object({ kind: z.literal('answered'), fingerprint: z.string(), ageMs: spanMs }),
]);

export const toldQuarantineSchema = z.object({
  fingerprint: z.string(),
  /** Since the request was put into quarantine. */
  ageMs: spanMs,
  leftMs: spanMs,
});

/** What one gateway saw of a request. */
export type RequestReport = z.infer<typeof requestReportSchema>;
/** A request that is kept from backend servers, as one gateway tells another. */
export type ToldQuarantine = z.infer<typeof toldQuarantineSchema>;

/**
 * Messages in which gateways share requests that are suspected of making backend servers fail.
 */
import * as z from 'zod';

const durationMs = z.number().nonnegative();

export const requestReportSchema = z.discriminatedUnion('kind', [
  /** A backend server failed while it was processing the request. */
  z.object({
    kind: z.literal('serverEnded'),
    fingerprint: z.string(),
    server: z.string(),
    ageMs: durationMs,
  }),
  /** A backend server answered the request without failing. */
  z.object({ kind: z.literal('answered'), fingerprint: z.string(), ageMs: durationMs }),
]);

export const quarantineNoticeSchema = z.object({
  fingerprint: z.string(),
  /** Time since the request was quarantined. */
  ageMs: durationMs,
  /** Remaining time of the quarantine. */
  leftMs: durationMs,
});

/** The outcome of a request as observed by one gateway. */
export type RequestReport = z.infer<typeof requestReportSchema>;
/** A request that is quarantined, as shared between gateways. */
export type QuarantineNotice = z.infer<typeof quarantineNoticeSchema>;

/**
 * Messages in which gateways share what is suspected of making backend servers fail.
 *
 * A fingerprint identifies a request, or a part of prompts that many requests may have.
 */
import * as z from 'zod';

const durationMs = z.number().nonnegative();
const MAX_FINGERPRINT_CHARACTERS = 64;
const fingerprint = z.string().max(MAX_FINGERPRINT_CHARACTERS);
const MAX_PARTS = 32;
/** Of all fingerprints of a request, with their separators. */
const MAX_COMBINATION_CHARACTERS = (MAX_PARTS + 1) * (MAX_FINGERPRINT_CHARACTERS + 1);
/** Fingerprints of the parts of a request's prompt. */
const parts = z.array(fingerprint).max(MAX_PARTS).optional();

export const requestReportSchema = z.discriminatedUnion('kind', [
  /** A backend server failed while it was processing the request. */
  z.object({
    kind: z.literal('serverEnded'),
    fingerprint: z.string(),
    parts,
    /** Those of the fingerprints that the reporting gateway knew to be answered shortly before. */
    answeredBefore: z
      .array(fingerprint)
      .max(MAX_PARTS + 1)
      .optional(),
    server: z.string(),
    ageMs: durationMs,
  }),
  /** A backend server has answered the request without failing; it began to `ageMs` ago. */
  z.object({ kind: z.literal('answered'), fingerprint: z.string(), parts, ageMs: durationMs }),
]);

export const quarantineNoticeSchema = z.object({
  /** Requests that have all of these fingerprints, see {@link joinFingerprints}, are held. */
  fingerprint: z.string().max(MAX_COMBINATION_CHARACTERS),
  /** Time since the quarantine began. */
  ageMs: durationMs,
  /** Remaining time of the quarantine. */
  leftMs: durationMs,
});

/** What one gateway has observed of a request. */
export type RequestReport = z.infer<typeof requestReportSchema>;
/** A quarantine as shared between gateways. */
export type QuarantineNotice = z.infer<typeof quarantineNoticeSchema>;

/** A character that no fingerprint contains. */
const FINGERPRINT_SEPARATOR = '+';
const PART_PREFIX = 'part:';

/**
 * The fingerprint of a part of a prompt.
 *
 * @example partFingerprint('5c1e07a2') // 'part:5c1e07a2'
 */
export function partFingerprint(id: string): string {
  return PART_PREFIX + id;
}

/** Whether `fingerprint` is that of a part of prompts. */
export function isPartFingerprint(fingerprint: string): boolean {
  return fingerprint.startsWith(PART_PREFIX);
}

/** All fingerprints that a report is about. */
export function fingerprintsOf({ fingerprint, parts: others = [] }: RequestReport): string[] {
  return [fingerprint, ...others];
}

/** Names a combination of fingerprints, whatever their order. */
export function joinFingerprints(fingerprints: readonly string[]): string {
  return [...fingerprints].sort().join(FINGERPRINT_SEPARATOR);
}

/** The fingerprints of a combination. */
export function parseFingerprints(combination: string): string[] {
  return combination.split(FINGERPRINT_SEPARATOR);
}

/**
 * Header fields by which gateways relay requests and responses to each other.
 *
 * A gateway puts its field before those of the message, and only the first one counts, so that a field
 * of the same name from a caller or a backend server stays what it is.
 */
import * as z from 'zod';
import { parseJson } from '../../core/json/index.js';
import type { RawHeaders } from '../../ports/index.js';

const RELAY_HEADER = 'yuccasail-relay';
const MAX_REASON_CHARACTERS = 200;

const relayOrderSchema = z.strictObject({
  /** Id of the backend server. */
  server: z.string().min(1).max(256),
  requestId: z.string().max(1_024).optional(),
  requiresNewConnection: z.boolean(),
});

const relayOutcomeSchema = z.discriminatedUnion('kind', [
  /** The response is the backend server's, whose framing the relay does not keep. */
  z.strictObject({
    kind: z.literal('response'),
    framing: z.enum(['length', 'chunks', 'connection']),
  }),
  /** The relay could not connect to the backend server. */
  z.strictObject({ kind: z.literal('notSent'), reason: z.string() }),
  /** The backend server may have run the request. */
  z.strictObject({ kind: z.literal('broken'), reason: z.string() }),
  /** Nothing was sent, for a reason of the relay's own. */
  z.strictObject({ kind: z.literal('unavailable'), reason: z.string() }),
]);

/** What a gateway asks another one to do with a request. */
export type RelayOrder = z.infer<typeof relayOrderSchema>;
/** What became of it. */
export type RelayOutcome = z.infer<typeof relayOutcomeSchema>;

export function encodeRelayOrder(order: RelayOrder): string[] {
  return encode(order);
}

/** Undefined if the message is not a request to relay, or not a valid one. */
export function decodeRelayOrder(headers: RawHeaders): RelayOrder | undefined {
  return relayOrderSchema.safeParse(decode(headers)).data;
}

export function encodeRelayOutcome(outcome: RelayOutcome): string[] {
  if (outcome.kind === 'response') return encode(outcome);
  return encode({ ...outcome, reason: outcome.reason.slice(0, MAX_REASON_CHARACTERS) });
}

/** Undefined if the response does not come from a relay. */
export function decodeRelayOutcome(headers: RawHeaders): RelayOutcome | undefined {
  return relayOutcomeSchema.safeParse(decode(headers)).data;
}

/** Whether the message is meant for a relay, valid or not. */
export function hasRelayHeader(headers: RawHeaders): boolean {
  return findRelayHeader(headers) >= 0;
}

/** The headers without the one that the other gateway has added. */
export function withoutRelayHeader(headers: RawHeaders): string[] {
  const index = findRelayHeader(headers);
  return headers.filter((_, each) => (each !== index && each !== index + 1) || index < 0);
}

function findRelayHeader(headers: RawHeaders): number {
  return headers.findIndex((name, index) => index % 2 === 0 && name.toLowerCase() === RELAY_HEADER);
}

function encode(value: unknown): string[] {
  return [RELAY_HEADER, encodeURIComponent(JSON.stringify(value))];
}

function decode(headers: RawHeaders): unknown {
  const index = findRelayHeader(headers);
  if (index < 0) return undefined;
  try {
    return parseJson(decodeURIComponent(headers[index + 1] ?? ''));
  } catch {
    return undefined;
  }
}

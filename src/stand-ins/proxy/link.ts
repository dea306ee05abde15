/**
 * The faults of the proxy and the switches for them. `toTarget` is the way of a request,
 * `toSource` that of its answer.
 */
import * as z from 'zod';
import type { Milliseconds } from '../../core/clock/index.js';

const wayControlSchema = z.strictObject({
  /** Each byte arrives this much later. */
  delayMs: z.number().nonnegative().optional(),
  /** Of all connections together; null for no bound. */
  bytesPerSecond: z.number().positive().nullable().optional(),
  /**
   * Breaks the next `times` connections on which `afterBytes` more bytes have been delivered: the
   * receiver gets just these and then the end, the sender a reset. With 0 to the source, a
   * connection breaks after the request was delivered, when its answer is about to begin.
   */
  breakAfter: z
    .strictObject({
      afterBytes: z.number().int().nonnegative(),
      times: z.number().int().positive().default(1),
    })
    .nullable()
    .optional(),
});

/** The switches of POST /control; only those named change. */
export const proxyControlSchema = z.strictObject({
  /** Swallows the bytes that go this way; connections stay open. */
  cut: z.enum(['none', 'toTarget', 'toSource', 'both']).optional(),
  /**
   * Bytes that go this way stay with their sender, which delivers them once the outage is over unless it
   * has reset the connection by then.
   */
  outage: z.enum(['none', 'toTarget', 'toSource', 'both']).optional(),
  /** Refuses new connections; open ones go on. */
  refuse: z.boolean().optional(),
  /** Resets every open connection, once. */
  resetAll: z.literal(true).optional(),
  toTarget: wayControlSchema.optional(),
  toSource: wayControlSchema.optional(),
  /** Keeps back what goes this way on the connections open now, until `release`. */
  hold: z.enum(['toTarget', 'toSource', 'both']).optional(),
  /** Keeps back what goes to the target on this many further connections, until `release`. */
  holdNext: z.number().int().nonnegative().optional(),
  release: z.literal(true).optional(),
});

export type ProxyControl = z.input<typeof proxyControlSchema>;
export type Way = 'toTarget' | 'toSource';

/** The state of one way, shared by all connections. */
export interface LinkWay {
  cut: boolean;
  isOut: boolean;
  delayMs: Milliseconds;
  bytesPerSecond: number;
  /** When the bound on bytes a second lets the next bytes through. */
  freeAt: Milliseconds;
  breaker: Breaker | undefined;
  deliveredBytes: number;
  swallowedBytes: number;
}

/** Breaks connections after some bytes. Each arming is another object. */
export interface Breaker {
  afterBytes: number;
  timesLeft: number;
}

/** Both ways. */
export interface Link {
  toTarget: LinkWay;
  toSource: LinkWay;
}

/** A link without faults. */
export function createLink(): Link {
  return { toTarget: createWay(), toSource: createWay() };
}

function createWay(): LinkWay {
  return {
    cut: false,
    isOut: false,
    delayMs: 0,
    bytesPerSecond: Number.POSITIVE_INFINITY,
    freeAt: 0,
    breaker: undefined,
    deliveredBytes: 0,
    swallowedBytes: 0,
  };
}

/** Sets the switches that belong to the link. */
export function controlLink(link: Link, control: z.infer<typeof proxyControlSchema>): void {
  const { cut, outage } = control;
  if (outage !== undefined) {
    link.toTarget.isOut = outage === 'toTarget' || outage === 'both';
    link.toSource.isOut = outage === 'toSource' || outage === 'both';
  }
  if (cut !== undefined) {
    link.toTarget.cut = cut === 'toTarget' || cut === 'both';
    link.toSource.cut = cut === 'toSource' || cut === 'both';
  }
  controlWay(link.toTarget, control.toTarget);
  controlWay(link.toSource, control.toSource);
}

function controlWay(way: LinkWay, control: z.infer<typeof wayControlSchema> = {}): void {
  const { delayMs, bytesPerSecond, breakAfter } = control;
  way.delayMs = delayMs ?? way.delayMs;
  if (bytesPerSecond !== undefined) {
    way.bytesPerSecond = bytesPerSecond ?? Number.POSITIVE_INFINITY;
    way.freeAt = 0;
  }
  if (breakAfter === null) way.breaker = undefined;
  if (breakAfter) {
    way.breaker = { afterBytes: breakAfter.afterBytes, timesLeft: breakAfter.times };
  }
}

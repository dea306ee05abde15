/**
 * Orders to engines, their outcomes, and the codec interface for both.
 */
import type { RawHeaders } from './requests.js';
import type { ServerNotice } from './server-notices.js';

/** An order to one engine. `group` and `epoch` identify the replica. */
export type EngineOrder =
  | {
      kind: 'join';
      group: string;
      epoch: number;
      model: string;
      /** Ids of all members, starting with the head. */
      members: readonly string[];
    }
  | { kind: 'open'; group: string; epoch: number }
  /** `preempt` aborts running requests; otherwise they are completed first. */
  | { kind: 'close'; group: string; epoch: number; preempt: boolean }
  | { kind: 'leave'; group: string; epoch: number }
  /** Copies the weights of `model` to the engine's host in the background. */
  | { kind: 'stage'; model: string };

/** Outcome of an order. */
export type OrderOutcome =
  | { kind: 'accepted' }
  /** The engine was already in the requested state. */
  | { kind: 'done' }
  | { kind: 'refused'; status: number }
  /** The address now belongs to another backend server. */
  | { kind: 'otherInstance' }
  /** Nothing listens at the address: the process has ended. */
  | { kind: 'gone' }
  /** No response; the order may have been accepted or may still arrive. */
  | { kind: 'unknown'; reason: string };

/** Encodes orders and report requests to engines and decodes their responses. */
export interface OrderCodec {
  encodeOrder(order: EngineOrder, server: string): EngineCall;
  decodeOutcome(status: number): OrderOutcome;
  encodeReport(server: string): EngineCall;
  /** Undefined if the body is not a valid report. */
  decodeReport(body: string): EngineReportSummary | undefined;
  /** Decodes what the response to an order or a report request says of the engine's availability. */
  decodeNotice(status: number, headers: RawHeaders): ServerNotice;
}

/** The fields of an engine's report that the gateway uses. */
export interface EngineReportSummary {
  /** Current multiplier for processing times; well above 1 if the engine has become slow. */
  pace: number;
  /** Start time of the reporting process, see `BackendServer.startedAt`. */
  startedAt?: number;
}

/** An encoded HTTP request to an engine. */
export interface EngineCall {
  method: 'GET' | 'POST';
  path: string;
  headers: Readonly<Record<string, string>>;
  body?: string;
}

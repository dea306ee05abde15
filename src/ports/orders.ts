/**
 * Orders to engines, and how an engine takes them.
 */

/** An order to one engine. `group` and `epoch` name the replica that it concerns. */
export type EngineOrder =
  | {
      kind: 'join';
      group: string;
      epoch: number;
      model: string;
      /** Ids of all members, the head first. */
      members: readonly string[];
    }
  | { kind: 'open'; group: string; epoch: number }
  /** `preempt` ends what runs; otherwise it is finished first. */
  | { kind: 'close'; group: string; epoch: number; preempt: boolean }
  | { kind: 'leave'; group: string; epoch: number }
  /** Brings the weights of `model` to the engine's host beside all other work. */
  | { kind: 'stage'; model: string };

/** How an order ended. */
export type OrderOutcome =
  | { kind: 'accepted' }
  /** It was so already. */
  | { kind: 'done' }
  | { kind: 'refused'; status: number }
  /** Another backend server has the address by now. */
  | { kind: 'otherInstance' }
  /** Nothing listens there: the process has ended. */
  | { kind: 'gone' }
  /** No answer; it may have been taken, or may yet be. */
  | { kind: 'unknown'; reason: string };

/** How orders and reports of one kind of engine are written. */
export interface OrderDialect {
  encodeOrder(order: EngineOrder, server: string): EngineCall;
  decodeOrder(status: number): OrderOutcome;
  encodeReport(server: string): EngineCall;
  /** Undefined when the body is no report. */
  decodeReport(body: string): EngineReportHead | undefined;
}

/** What matters here of an engine's report. */
export interface EngineReportHead {
  /** Factor on its processing times now; well above 1 when it has turned slow. */
  pace: number;
  /** Of the life that reports, as in its entry. */
  startedAt?: number;
}

/** A short call to an engine, ready to send. */
export interface EngineCall {
  method: 'GET' | 'POST';
  path: string;
  headers: Readonly<Record<string, string>>;
  body?: string;
}

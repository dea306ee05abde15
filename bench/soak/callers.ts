/**
 * Callers that keep their connections open until the gateway closes them, and what each got.
 */
import { Agent, request as httpRequest, type IncomingMessage } from 'node:http';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { MODEL } from '../../features/gateway/stand-ins/configuration.js';
import type { SoakGateway, SoakSite } from './site.js';

/** `crash`: a stream whose prompt has the part under which engines crash. */
export type AskedKind = 'list' | 'check' | 'chat' | 'crash';

/** One request and how it ended; times are of the run's clock. */
export interface AskedRecord {
  id: string;
  kind: AskedKind;
  gateway: string;
  key: string;
  sentAt: number;
  endedAt: number;
  /** Absent when the connection ended before a head. */
  status?: number;
  seal?: string;
  body: string;
  /** The answer had its proper end. */
  whole: boolean;
  /** Nobody took the connection. */
  refused: boolean;
  /** When the caller left, if it did before its answer. */
  leftAt?: number;
}

const KINDS: readonly AskedKind[] = ['list', 'check', 'chat', 'chat'];
/** How long a caller waits. */
export const DEADLINE_MS = 2_000;
const PAUSE_MS = 15;
const PATHS = { list: '/list/x', check: '/check/x', chat: '/chat/x', crash: '/chat/x' } as const;
const CRASH_PAUSE_MS = 120;
/** One in so many requests goes elsewhere while one gateway is favoured. */
const ELSEWHERE_ONE_IN = 8;
export const CRASHING_PART = 'bad0';

/** When and how a caller leaves: 0 closes its connection, 1 resets it. */
interface Departure {
  afterMs: number;
  how: number;
}

const LEAVE_PAUSE_MS = 40;
const LEAVE_AFTER_MS: readonly number[] = [1, 8, 20, 60, 150, 300];

/** Callers of one run. */
export class Callers {
  readonly records: AskedRecord[] = [];
  private isStopped = false;
  private readonly running: Promise<void>[] = [];
  private asked = 0;

  constructor(private readonly site: SoakSite) {}

  start(count: number): void {
    for (let index = 0; index < count; index += 1) this.running.push(this.runCaller(index));
  }

  /** Sends different prompts with the crashing part, at one gateway after the other. */
  startCrashing(): void {
    this.running.push(this.runCrashing());
  }

  private async runCrashing(): Promise<void> {
    const pending: Promise<unknown>[] = [];
    for (let at = 0; !this.isStopped; at += 1) {
      const { gateways } = this.site;
      const gateway = gateways[at % gateways.length];
      if (gateway) pending.push(this.ask(gateway, 'crash'));
      await sleep(CRASH_PAUSE_MS);
    }
    await Promise.all(pending);
  }

  /** Asks and leaves at different times, in different ways, at one gateway after the other. */
  startLeaving(): void {
    this.running.push(this.runLeaving());
  }

  private async runLeaving(): Promise<void> {
    const pending: Promise<unknown>[] = [];
    for (let at = 0; !this.isStopped; at += 1) {
      const { gateways } = this.site;
      const gateway = gateways[at % gateways.length];
      const leave = { afterMs: LEAVE_AFTER_MS[at % LEAVE_AFTER_MS.length] ?? 0, how: at % 2 };
      const kind = at % 3 === 0 ? 'list' : 'chat';
      if (gateway) pending.push(this.ask(gateway, kind, undefined, undefined, leave));
      await sleep(LEAVE_PAUSE_MS);
    }
    await Promise.all(pending);
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.running);
  }

  private async runCaller(index: number): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let at = index; !this.isStopped;) {
      const { gateways, favoured } = this.site;
      const isFavoured = favoured !== undefined && this.asked % ELSEWHERE_ONE_IN !== 0;
      const gateway = isFavoured ? favoured : gateways[at % gateways.length];
      const kind = KINDS[this.asked % KINDS.length];
      if (!gateway || !kind) break;
      const record = await this.ask(gateway, kind, isFavoured ? undefined : agent);
      // A caller stays with its gateway until that one is not there.
      if (record.refused || record.status === undefined) at += 1;
      await sleep(PAUSE_MS);
    }
    agent.destroy();
  }

  /** Asks once with the newest key and records what came of it. */
  async ask(
    gateway: SoakGateway,
    kind: AskedKind,
    agent?: Agent,
    key?: string,
    leave?: Departure,
  ): Promise<AskedRecord> {
    this.asked += 1;
    const record: AskedRecord = {
      id: `request-${this.asked}`,
      kind,
      gateway: gateway.plan.name,
      key: key ?? this.site.keys.at(-1) ?? '',
      sentAt: performance.now(),
      endedAt: 0,
      body: '',
      whole: false,
      refused: false,
    };
    this.records.push(record);
    await send(record, gateway.plan.callers, agent, leave);
    record.endedAt = performance.now();
    return record;
  }
}

async function send(
  record: AskedRecord,
  address: string,
  agent?: Agent,
  leave?: Departure,
): Promise<void> {
  const [host = '', port = ''] = address.split(':');
  const outgoing = httpRequest({
    host,
    port,
    // No two prompts with the crashing part are alike.
    path: record.kind === 'crash' ? `${PATHS.crash}/${record.id}` : PATHS[record.kind],
    ...(agent && { agent }),
    headers: {
      host: 'passes.example',
      'Attempt-Id': record.id,
      'Deadline-Ms': String(DEADLINE_MS),
      Authorization: `Bearer ${record.key}`,
      ...((record.kind === 'chat' || record.kind === 'crash') && {
        Model: MODEL,
        'Token-Count': '100,50',
        'Prompt-Prefix': record.kind === 'chat' ? 'aa:40,bb:60' : `aa:40,${CRASHING_PART}:20,bb:40`,
      }),
    },
  });
  const timer = setTimeout(() => outgoing.destroy(), 2 * DEADLINE_MS);
  const leaveTimer =
    leave &&
    setTimeout(() => {
      record.leftAt = performance.now();
      if (leave.how === 0) outgoing.destroy();
      else outgoing.socket?.resetAndDestroy();
    }, leave.afterMs);
  try {
    outgoing.end();
    const [incoming] = (await once(outgoing, 'response')) as [IncomingMessage];
    // A connection may be reset between its response and the reading of it.
    outgoing.on('error', () => undefined);
    record.status = incoming.statusCode ?? 0;
    const seal = incoming.headers['response-seal'];
    if (typeof seal === 'string') record.seal = seal;
    for await (const chunk of incoming) record.body += String(chunk);
    record.whole = incoming.complete;
  } catch (error) {
    // How a connection ends is what is judged; the record shows it by what it lacks.
    record.refused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
  } finally {
    clearTimeout(timer);
    clearTimeout(leaveTimer);
  }
}

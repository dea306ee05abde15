/**
 * A site with engines of one domain that form groups, callers of their model, and a record of each change.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { EngineStandIn } from '../../features/gateway/stand-ins/engine.js';
import {
  exampleConfiguration,
  exampleHeaders,
} from '../../features/gateway/stand-ins/configuration.js';
import { ask, Site, type Answer } from './site.mjs';

export const HEARTBEAT_MS = 1_200;
export const LAPSE_MS = 3 * HEARTBEAT_MS;

export class GroupSite {
  readonly site = new Site();
  readonly fleet = new Map<string, EngineStandIn>();
  readonly breaches: string[] = [];
  /** Engines whose writes don't reach the store. */
  readonly cutOff = new Set<string>();
  readonly writtenAt = new Map<string, number>();
  readonly answers: Answer[] = [];
  private isOver = false;
  private asked = 0;
  private callers: Promise<void>[] = [];

  async open(): Promise<void> {
    await this.site.open();
    this.site.store.put('config', 'main', exampleConfiguration({ route: { timeout_ms: 4_000 } }));
    this.startPlatform();
    this.watchEngines();
  }

  async addEngine(index: number): Promise<EngineStandIn> {
    const id = `engine-${index}`;
    const engine = await this.site.addServer({
      id,
      service: 'models',
      domain: 'fabric-0',
      fleet: this.fleet,
      breaches: this.breaches,
      events: 30,
      gapMs: 40,
    });
    engine.staged = ['small'];
    this.fleet.set(id, engine);
    this.connect(engine);
    engine.report();
    return engine;
  }

  /** Writes reach the store unless the engine is cut off or the store is away. */
  private connect(engine: EngineStandIn): void {
    const { id } = engine.options;
    const write = engine.report.bind(engine);
    engine.report = (): void => {
      if (this.cutOff.has(id) || this.site.store.fault !== 'none') return;
      write();
      this.writtenAt.set(id, performance.now());
    };
  }

  /** Engines write every heartbeat, and the store removes entries after three of silence. */
  private startPlatform(): void {
    setInterval(() => {
      for (const engine of this.fleet.values()) engine.report();
    }, HEARTBEAT_MS).unref();
    setInterval(() => {
      if (this.site.store.fault !== 'none') return;
      for (const [id, at] of this.writtenAt) {
        if (performance.now() - at <= LAPSE_MS || !this.site.store.read('servers', id)) continue;
        this.site.store.remove('servers', id);
        this.site.note(`the store removes the entry of ${id} after ${LAPSE_MS} ms of silence`);
      }
    }, 100).unref();
  }

  private watchEngines(): void {
    const seen = new Map<string, string>();
    setInterval(() => {
      for (const [id, { membership, orders }] of this.fleet) {
        const state = membership
          ? `${membership.name} epoch ${membership.epoch} rank ${membership.rank} ${membership.state} [${membership.members.join(' ')}]`
          : 'no group';
        const line = `${id}: ${state}; ${orders.length} orders, last ${orders.at(-1) ?? 'none'}`;
        if (seen.get(id) !== line) this.site.note(line);
        seen.set(id, line);
      }
    }, 5).unref();
  }

  startCallers(count: number): void {
    this.callers = Array.from({ length: count }, (_, index) => this.runCaller(index));
  }

  private async runCaller(index: number): Promise<void> {
    for (let at = index; !this.isOver; at += 1) {
      const gateway = this.site.gateways[at % this.site.gateways.length];
      if (!gateway) return;
      this.asked += 1;
      const id = `request-${this.asked}`;
      const headers = exampleHeaders(id, 4_000);
      const request = { id, method: 'POST', path: `/chat/${id}`, headers, body: id };
      this.answers.push(await ask(gateway, request));
      await sleep(60);
    }
  }

  listOpenHeads(): EngineStandIn[] {
    return [...this.fleet.values()].filter(
      ({ membership }) => membership?.state === 'open' && membership.rank === 0,
    );
  }

  async waitForGroups(groups: number): Promise<void> {
    const end = performance.now() + 20_000;
    while (this.listOpenHeads().length < groups) {
      if (performance.now() > end) throw new Error('the groups have not formed');
      await sleep(5);
    }
    this.site.note(`${groups} groups are open`);
  }

  /** Ends the callers, records what was sent, answered and run, and returns the exit status. */
  async judge(): Promise<number> {
    this.isOver = true;
    await Promise.all(this.callers);
    const { site, answers, breaches } = this;
    for (const { id, gateway, status, whole, sentAt, endedAt } of answers) {
      const runs = site.runsOf(id).map(({ server, at }) => `${server} at ${site.at(at)}`);
      site.record.push(
        `${id} by ${gateway} sent ${site.at(sentAt)} ended ${site.at(endedAt)}: ${status ?? 'cut'}${whole ? '' : ', not whole'}; ran ${runs.join(', ') || 'nowhere'}`,
      );
    }
    const served = answers.filter(({ status, whole }) => status === 200 && whole).length;
    if (served === 0) return 2;
    for (const breach of breaches) site.note(`BROKEN: ${breach}`);
    const verdict = breaches.length > 0 ? 'was broken' : 'held';
    site.note(`${answers.length} requests, ${served} served whole; the rule ${verdict}`);
    return breaches.length > 0 ? 1 : 0;
  }
}

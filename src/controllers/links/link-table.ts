/**
 * Tracks the backend servers and services that this gateway does not reach over its own links.
 *
 * A failed connection alone doesn't show whether the server or the link to it has failed. A link
 * counts as lost once another gateway got an answer from the server. A service counts as cut off after
 * several lost links, or several servers that answer nobody while no other one of the service answers
 * here: other gateways may have lost their links as well.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** The server that a link leads to. */
export interface LinkedServer {
  id: string;
  service: string;
}

/** What an observation has changed. */
export interface LinkChange {
  /** The link was lost or restored just now. */
  link: boolean;
  /** The service was cut off or reached again just now. */
  service: boolean;
}

/** Lost links in a row after which a service counts as cut off. */
const CUT_OFF_AFTER_LOST_LINKS = 2;
/** Servers in a row that answer nobody after which a service counts as cut off. */
const CUT_OFF_AFTER_SILENT_SERVERS = 3;
/** Time without anything from a service before servers that answer nobody count against its links. */
const SERVICE_SILENCE_MS: Milliseconds = 500;
/** Below the shortest time without data after which a server is suspected. */
const HEARD_WITHIN_MS: Milliseconds = 150;
/** Interval between two checks of a lost link. */
const LINK_CHECK_INTERVAL_MS: Milliseconds = 1_000;
/** Interval between two checks of a service that is cut off. */
const SERVICE_CHECK_INTERVAL_MS: Milliseconds = 500;

interface LostLink {
  service: string;
  nextCheckAt: Milliseconds;
}

interface ServiceLinks {
  /** Servers whose links were lost since a new connection to the service was last answered. */
  lostInRow: Set<string>;
  /** Servers found to answer nobody since one of the service was last heard. */
  silentInRow: Set<string>;
  isCutOff: boolean;
  nextCheckAt: Milliseconds;
}

/** Lost links of one gateway. Mutable; has a single owner. */
export class LinkTable {
  private readonly lost = new Map<string, LostLink>();
  private readonly services = new Map<string, ServiceLinks>();
  private readonly heardAt = new Map<string, Milliseconds>();

  get lostCount(): number {
    return this.lost.size;
  }

  /** Whether there is no evidence against any link. */
  get isClear(): boolean {
    return this.lost.size === 0 && this.services.size === 0;
  }

  /** Records that another gateway reaches the server and this one does not. */
  recordLost({ id, service }: LinkedServer, now: Milliseconds): LinkChange {
    const isNew = !this.lost.has(id);
    this.lost.set(id, { service, nextCheckAt: now + LINK_CHECK_INTERVAL_MS });
    const state = this.stateOf(service);
    state.lostInRow.add(id);
    const isEnough = state.lostInRow.size >= CUT_OFF_AFTER_LOST_LINKS;
    return { link: isNew, service: isEnough && cutOff(state, now) };
  }

  /** Records that neither this gateway nor another one got an answer from the server. */
  recordSilent({ id, service }: LinkedServer): void {
    this.stateOf(service).silentInRow.add(id);
  }

  /** Records that something came from a server of the service, maybe over an old connection. */
  recordHeard(service: string, now: Milliseconds): void {
    this.heardAt.set(service, now);
    const state = this.services.get(service);
    if (state === undefined || state.isCutOff) return;
    state.silentInRow.clear();
    if (state.lostInRow.size === 0) this.services.delete(service);
  }

  /** Whether something came from a server of the service a moment ago. */
  isHeard(service: string, now: Milliseconds): boolean {
    return now - (this.heardAt.get(service) ?? Number.NEGATIVE_INFINITY) < HEARD_WITHIN_MS;
  }

  /** Records an answer of the server over a new connection of this gateway. */
  recordSound({ id, service }: LinkedServer, now: Milliseconds): LinkChange {
    const wasCutOff = this.isCutOff(service);
    const wasLost = this.lost.delete(id);
    this.services.delete(service);
    if (wasCutOff)
      for (const link of this.lost.values()) if (link.service === service) link.nextCheckAt = now;
    return { link: wasLost, service: wasCutOff };
  }

  /** Whether requests to the server would fail over connections of this gateway. */
  isLost({ id, service }: LinkedServer): boolean {
    return this.lost.has(id) || this.isCutOff(service);
  }

  isCutOff(service: string): boolean {
    return this.services.get(service)?.isCutOff ?? false;
  }

  /** The services that are cut off. */
  listCutOff(): string[] {
    return [...this.services].filter(([, { isCutOff }]) => isCutOff).map(([name]) => name);
  }

  /** Cuts off the services of which only silent servers are known; returns their names. */
  cutOffSilent(now: Milliseconds): string[] {
    const isSilent = ([service, { silentInRow }]: [string, ServiceLinks]): boolean =>
      silentInRow.size >= CUT_OFF_AFTER_SILENT_SERVERS &&
      now - (this.heardAt.get(service) ?? Number.NEGATIVE_INFINITY) >= SERVICE_SILENCE_MS;
    return [...this.services]
      .filter((entry) => isSilent(entry) && cutOff(entry[1], now))
      .map(([service]) => service);
  }

  /** The services that are cut off and of which some server is to be checked now. */
  takeDueServices(now: Milliseconds): string[] {
    const due = [...this.services].filter(
      ([, state]) => state.isCutOff && now >= state.nextCheckAt,
    );
    for (const [, state] of due) state.nextCheckAt = now + SERVICE_CHECK_INTERVAL_MS;
    return due.map(([service]) => service);
  }

  /** Ids of the servers to check now because their links are lost. */
  takeDueLinks(now: Milliseconds): string[] {
    const due = [...this.lost].filter(
      ([, { service, nextCheckAt }]) => now >= nextCheckAt && !this.isCutOff(service),
    );
    for (const [, link] of due) link.nextCheckAt = now + LINK_CHECK_INTERVAL_MS;
    return due.map(([id]) => id);
  }

  /** Forgets servers that are no longer known. */
  retain(isKnown: (id: string) => boolean): void {
    for (const id of this.lost.keys()) if (!isKnown(id)) this.lost.delete(id);
    for (const [service, { lostInRow, silentInRow }] of this.services) {
      for (const id of lostInRow) if (!isKnown(id)) lostInRow.delete(id);
      for (const id of silentInRow) if (!isKnown(id)) silentInRow.delete(id);
      if (lostInRow.size + silentInRow.size === 0) this.services.delete(service);
    }
  }

  private stateOf(service: string): ServiceLinks {
    const known = this.services.get(service);
    if (known) return known;
    const created = {
      lostInRow: new Set<string>(),
      silentInRow: new Set<string>(),
      isCutOff: false,
      nextCheckAt: 0,
    };
    this.services.set(service, created);
    return created;
  }
}

/** Returns false if the service was cut off before. */
function cutOff(state: ServiceLinks, now: Milliseconds): boolean {
  if (state.isCutOff) return false;
  state.isCutOff = true;
  state.nextCheckAt = now + SERVICE_CHECK_INTERVAL_MS;
  return true;
}

/**
 * Tracks which backend servers this gateway does not reach although other gateways do.
 *
 * A failed connection alone doesn't show whether the server or the link to it has failed, so a link
 * counts as lost only after another gateway got an answer from the server. After several lost links
 * without an answer over a new connection in between, the whole service counts as cut off.
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

/** Lost links in a row after which all links to the servers of the service count as lost. */
const CUT_OFF_AFTER_LINKS = 2;
/** Interval between two checks of a lost link. */
const LINK_CHECK_INTERVAL_MS: Milliseconds = 1_000;
/** Interval between two checks of a service that is cut off, each of another link. */
const SERVICE_CHECK_INTERVAL_MS: Milliseconds = 500;

interface LostLink {
  service: string;
  nextCheckAt: Milliseconds;
}

interface ServiceLinks {
  /** Servers whose links were lost since one to the service was last found sound. */
  lostInRow: Set<string>;
  isCutOff: boolean;
  nextCheckAt: Milliseconds;
}

/** Lost links of one gateway. Mutable; has a single owner. */
export class LinkTable {
  private readonly lost = new Map<string, LostLink>();
  private readonly services = new Map<string, ServiceLinks>();

  get lostCount(): number {
    return this.lost.size;
  }

  /** Records that another gateway reaches the server and this one does not. */
  recordLost({ id, service }: LinkedServer, now: Milliseconds): LinkChange {
    const isNew = !this.lost.has(id);
    if (isNew) this.lost.set(id, { service, nextCheckAt: now + LINK_CHECK_INTERVAL_MS });
    const links = this.linksOf(service);
    links.lostInRow.add(id);
    const isNowCutOff = !links.isCutOff && links.lostInRow.size >= CUT_OFF_AFTER_LINKS;
    if (isNowCutOff) {
      links.isCutOff = true;
      links.nextCheckAt = now + SERVICE_CHECK_INTERVAL_MS;
    }
    return { link: isNew, service: isNowCutOff };
  }

  /** Records an answer of the server over a new connection of this gateway. */
  recordSound({ id, service }: LinkedServer, now: Milliseconds): LinkChange {
    const links = this.services.get(service);
    if (links === undefined) return { link: false, service: false };
    const wasCutOff = links.isCutOff;
    const wasLost = this.lost.delete(id);
    this.services.delete(service);
    if (wasCutOff)
      for (const link of this.lost.values()) if (link.service === service) link.nextCheckAt = now;
    return { link: wasLost, service: wasCutOff };
  }

  /** Whether requests to the server fail over connections of this gateway. */
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

  /** Ids of the servers to check now; each is returned once per interval. */
  takeDueChecks(now: Milliseconds): string[] {
    return [...this.lost].filter(([, link]) => this.takeCheck(link, now)).map(([id]) => id);
  }

  /** Forgets servers that are no longer known. */
  retain(isKnown: (id: string) => boolean): void {
    for (const [id, { service }] of this.lost) {
      if (isKnown(id)) continue;
      this.lost.delete(id);
      const links = this.services.get(service);
      links?.lostInRow.delete(id);
      const isLastLink = ![...this.lost.values()].some((link) => link.service === service);
      if (isLastLink) this.services.delete(service);
    }
  }

  private takeCheck(link: LostLink, now: Milliseconds): boolean {
    if (now < link.nextCheckAt) return false;
    const links = this.services.get(link.service);
    if (links?.isCutOff) {
      if (now < links.nextCheckAt) return false;
      links.nextCheckAt = now + SERVICE_CHECK_INTERVAL_MS;
      // Takes turns: every other lost link of the service comes first next time.
      link.nextCheckAt = now + SERVICE_CHECK_INTERVAL_MS * this.lost.size;
      return true;
    }
    link.nextCheckAt = now + LINK_CHECK_INTERVAL_MS;
    return true;
  }

  private linksOf(service: string): ServiceLinks {
    const known = this.services.get(service);
    if (known) return known;
    const created = { lostInRow: new Set<string>(), isCutOff: false, nextCheckAt: 0 };
    this.services.set(service, created);
    return created;
  }
}

/**
 * How the loads that the weight store bears at once are shared by the fabric domains.
 */

/** A fabric domain that may need weights. */
export interface LoadDemand {
  domain: string;
  /** Instances without any weights. */
  bare: number;
}

/**
 * Loads that each domain may have under way, by its name; together at most `atOnce`, or one where
 * even that is less. Domains get one in turns while they have instances without weights, and what
 * is left over goes to all in turns, for instances that have the weights of a model in no need.
 *
 * More loads at once make each slower: all replicas would wait for the last instead of some forming
 * early. All gateways come to the same shares from the same fleet.
 */
export function splitLoads(
  demands: readonly LoadDemand[],
  atOnce: number,
): ReadonlyMap<string, number> {
  const ordered = [...demands].sort((a, b) => (a.domain < b.domain ? -1 : 1));
  const slots = new Map(ordered.map(({ domain }) => [domain, 0]));
  let left = Math.max(1, Math.floor(atOnce));
  const giveInTurns = (wants: (demand: LoadDemand) => boolean): void => {
    for (let given = true; given && left > 0;) {
      given = false;
      for (const demand of ordered) {
        if (left === 0 || !wants(demand)) continue;
        slots.set(demand.domain, (slots.get(demand.domain) ?? 0) + 1);
        left -= 1;
        given = true;
      }
    }
  };
  giveInTurns(({ domain, bare }) => (slots.get(domain) ?? 0) < bare);
  if (ordered.length > 0) giveInTurns(() => true);
  return slots;
}

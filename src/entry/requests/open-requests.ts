/**
 * The count of requests that are accepted and not answered, for a stop that cuts off none.
 */

export interface OpenRequests {
  begin(): void;
  end(): void;
  count(): number;
  /** Resolves at once when there are none, else when the last has ended. */
  whenNone(): Promise<void>;
}

/** A count that starts at none. `report` is told each change. */
export function createOpenRequests(report: (count: number) => void): OpenRequests {
  const waiting: (() => void)[] = [];
  let count = 0;
  return {
    begin: () => {
      count += 1;
      report(count);
    },
    end: () => {
      count -= 1;
      report(count);
      if (count > 0) return;
      for (const resolve of waiting.splice(0)) resolve();
    },
    count: () => count,
    whenNone: () => {
      if (count === 0) return Promise.resolve();
      return new Promise((resolve) => waiting.push(resolve));
    },
  };
}

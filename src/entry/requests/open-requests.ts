/**
 * Counts accepted requests without a final response, so that a graceful shutdown can wait for them.
 */

export interface OpenRequests {
  begin(): void;
  end(): void;
  count(): number;
  /** Resolves when no request is open. */
  whenIdle(): Promise<void>;
}

/** Creates a counter that starts at zero and calls `onChange` on every change. */
export function createOpenRequests(onChange: (count: number) => void): OpenRequests {
  const idleCallbacks: (() => void)[] = [];
  let count = 0;
  return {
    begin: () => {
      count += 1;
      onChange(count);
    },
    end: () => {
      count -= 1;
      onChange(count);
      if (count > 0) return;
      for (const resolve of idleCallbacks.splice(0)) resolve();
    },
    count: () => count,
    whenIdle: () => {
      if (count === 0) return Promise.resolve();
      return new Promise((resolve) => idleCallbacks.push(resolve));
    },
  };
}

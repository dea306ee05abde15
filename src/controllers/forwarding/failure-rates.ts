/**
 * Tracks failure rates of backend servers, to detect those that fail requests but pass health checks.
 */

/** Weight of the latest response in the moving average. */
const SMOOTHING_FACTOR = 0.15;

/** Exponentially weighted failure rate of each server. Mutable; has a single owner. */
export class FailureRates {
  private readonly rates = new Map<string, number>();

  record(server: string, failed: boolean): void {
    const rate = this.rateOf(server);
    this.rates.set(server, rate + SMOOTHING_FACTOR * ((failed ? 1 : 0) - rate));
  }

  rateOf(server: string): number {
    return this.rates.get(server) ?? 0;
  }

  forget(server: string): void {
    this.rates.delete(server);
  }
}

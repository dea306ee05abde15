/**
 * Backend servers that answer with failures of their own while they look healthy.
 */

/** Weight of the newest answer; about the last ten count. */
const NEWEST = 0.15;

/** Part of each server's last answers that were failures. Changed in place, owned by one shell. */
export class FailureRates {
  private readonly rates = new Map<string, number>();

  record(server: string, failed: boolean): void {
    const rate = this.rateOf(server);
    this.rates.set(server, rate + NEWEST * ((failed ? 1 : 0) - rate));
  }

  rateOf(server: string): number {
    return this.rates.get(server) ?? 0;
  }

  forget(server: string): void {
    this.rates.delete(server);
  }
}

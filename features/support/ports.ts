/**
 * Addresses for listeners that are closed and opened again within a scenario.
 *
 * A port that the kernel chose may go to another process, or to an outgoing connection, while its
 * listener is closed; the scenario then can't open it again. These ports lie below the range that
 * the kernel chooses from, and each worker has its own.
 */
const FIRST_PORT = 12_000;
const PORTS_PER_WORKER = 2_000;
const WORKERS = 10;

const worker = Number(process.env.CUCUMBER_WORKER_ID ?? 0) % WORKERS;
let taken = 0;

/** An address on loopback that no other scenario uses at the same time. */
export function nextAddress(): string {
  const offset = taken % PORTS_PER_WORKER;
  taken += 1;
  return `127.0.0.1:${FIRST_PORT + worker * PORTS_PER_WORKER + offset}`;
}

/**
 * Addresses for listeners that are closed and opened again within a scenario.
 *
 * A port that the kernel chose may go to another process, or to an outgoing connection, while its
 * listener is closed; the scenario then can't open it again. These ports lie below the range that
 * the kernel chooses from, and each process that uses them has a block of its own.
 *
 * Two runs of the features on one machine must not use the same block: a scenario would talk to the
 * gateways of another and see answers that make no sense. A process holds its block by listening on
 * the block's first port, which ends with the process however it ends.
 */
import { createServer } from 'node:net';

const FIRST_PORT = 12_000;
const PORTS_PER_BLOCK = 250;
/** Up to port 32,000; the kernel chooses from 32,768 on. */
const BLOCKS = 80;
const HOST = '127.0.0.1';

const block = await claimBlock();
let taken = 0;

/** An address on loopback that no other scenario uses at the same time. */
export function nextAddress(): string {
  // The first port of the block is the one that holds it.
  const offset = 1 + (taken % (PORTS_PER_BLOCK - 1));
  taken += 1;
  return `${HOST}:${FIRST_PORT + block * PORTS_PER_BLOCK + offset}`;
}

async function claimBlock(): Promise<number> {
  for (let tried = 0; tried < BLOCKS; tried += 1) {
    const candidate = (process.pid + tried) % BLOCKS;
    if (await holdPort(FIRST_PORT + candidate * PORTS_PER_BLOCK)) return candidate;
  }
  throw new Error('other processes use all blocks of ports');
}

/** False when another process holds it. */
function holdPort(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const holder = createServer();
    holder.unref();
    holder.once('error', () => {
      resolve(false);
    });
    holder.listen({ port, host: HOST, exclusive: true }, () => {
      resolve(true);
    });
  });
}

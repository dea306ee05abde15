/**
 * Addresses for listeners that are closed and opened again within a scenario.
 *
 * A port that the kernel chose may go to another process, or to an outgoing connection, while its
 * listener is closed; the scenario then can't open it again. These ports lie below the range that
 * the kernel chooses from, and each process that runs scenarios has a block of its own.
 *
 * Two runs on one machine, say of two working copies, would meet on the same ports: a scenario
 * fails before it begins, with EADDRINUSE. So a block is taken by listening on its first port for
 * as long as the process runs. The kernel lets one process do that and frees the port at its end.
 */
import { createServer } from 'node:net';

const HOST = '127.0.0.1';
const FIRST_PORT = 12_000;
/** Many times what one scenario opens: by the time they come round again, they are closed. */
const PORTS_PER_BLOCK = 400;
/** Ends below 32,768, where the kernel's range begins. */
const BLOCKS = 50;

/** Resolves with whether the port was free; it is held until this process ends. */
function holdPort(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.unref();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, HOST, () => {
      resolve(true);
    });
  });
}

/** The first port of a block that no other process has. */
async function takeBlock(): Promise<number> {
  for (let block = BLOCKS - 1; block >= 0; block -= 1) {
    const first = FIRST_PORT + block * PORTS_PER_BLOCK;
    if (await holdPort(first)) return first;
  }
  throw new Error(`all ${BLOCKS} blocks of ports are taken`);
}

const heldPort = await takeBlock();
let given = 0;

/** An address on loopback that no other scenario uses at the same time. */
export function nextAddress(): string {
  const offset = given % (PORTS_PER_BLOCK - 1);
  given += 1;
  return `${HOST}:${heldPort + 1 + offset}`;
}

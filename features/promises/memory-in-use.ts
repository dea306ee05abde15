/**
 * The memory that a process has in use, as its runtime's inspector tells it.
 *
 * Everything that is not in use any more is collected first. Without that the figure is decided by
 * how much garbage the runtime lets lie, and it lets more lie on a busy machine.
 */
import { WebSocket } from 'undici';
import type { Process } from '../support/processes.js';
import { waitFor } from '../support/waiting.js';

/** An option of the runtime without which a process can't be asked. */
export const INSPECTED = '--inspect=127.0.0.1:0';

/** A process that can be asked. */
export interface InspectedProcess {
  /** In bytes, after a full collection: objects of the program and buffers outside its heap. */
  memoryInUse(): Promise<number>;
  close(): void;
}

interface InspectorAnswer {
  id?: number;
  error?: { message: string };
  result?: { result?: { value?: unknown } };
}

const EXPRESSION = '(({ heapUsed, external }) => heapUsed + external)(process.memoryUsage())';

/** Attaches to a process that was started with {@link INSPECTED}. */
export async function inspect(process: Process): Promise<InspectedProcess> {
  const address = await waitFor('the inspector to listen', () =>
    process.logLines.map((line) => /Debugger listening on (ws:\S+)/.exec(line)?.[1]).find(Boolean),
  );
  const socket = new WebSocket(address);
  await new Promise((resolve, reject) => {
    socket.addEventListener('open', resolve, { once: true });
    socket.addEventListener('error', reject, { once: true });
  });
  const send = createSend(socket);
  return {
    memoryInUse: async () => {
      await send('HeapProfiler.collectGarbage');
      const answer = await send('Runtime.evaluate', {
        expression: EXPRESSION,
        returnByValue: true,
      });
      return Number(answer.result?.result?.value);
    },
    close: () => {
      socket.close();
    },
  };
}

/** Calls of the inspector, told apart by their numbers. */
function createSend(
  socket: WebSocket,
): (method: string, params?: object) => Promise<InspectorAnswer> {
  const waiting = new Map<number, (answer: InspectorAnswer) => void>();
  let last = 0;
  socket.addEventListener('message', ({ data }) => {
    const answer = JSON.parse(String(data)) as InspectorAnswer;
    if (answer.id !== undefined) waiting.get(answer.id)?.(answer);
  });
  return async (method, params = {}) => {
    last += 1;
    const id = last;
    const answered = new Promise<InspectorAnswer>((resolve) => waiting.set(id, resolve));
    socket.send(JSON.stringify({ id, method, params }));
    const answer = await answered;
    waiting.delete(id);
    if (answer.error) throw new Error(`${method}: ${answer.error.message}`);
    return answer;
  };
}

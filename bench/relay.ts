/**
 * The request path against a bare relay of the same libraries, in one run and as ratios: processor
 * time for a completion, completions a second, and the time that a completion takes. Beside that,
 * memory for open streams. Exits with 1 on a missed bound.
 *
 * Rounds of the two relays alternate and medians are compared, so that a busy machine disturbs
 * both. The bound rests on processor time, which other processes disturb least.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdirSync, writeFileSync } from 'node:fs';
import { Agent } from 'undici';
import { KEY, MODEL } from './relay/entry.js';
import {
  ENGINE_VARIABLE,
  HOLD,
  ROLE_VARIABLE,
  type Report,
  type Role,
  type Usage,
} from './relay/messages.js';

/** A process under measurement. */
interface Worker {
  child: ChildProcess;
  address: string;
}

/** One round against one address. */
interface Round {
  cpuMsPerRequest: number;
  requestsPerSecond: number;
  medianMs: number;
}

const ROUNDS = 7;
const REQUESTS = 600;
const CALLERS = 16;
const TOKENS = 64;
const OPEN_STREAMS = 1_000;
/** Least throughput against the bare relay, for the same processor time. */
const MIN_RATIO = 0.7;
/** Most resident memory that 1,000 open streams add. */
const MAX_MB_PER_1000_STREAMS = 64;
const MB = 1_048_576;
const OUT = new URL('out/', import.meta.url);

const agent = new Agent({ connections: 2 * OPEN_STREAMS });

async function startWorker(role: Role, engine = ''): Promise<Worker> {
  const env = { ...process.env, [ROLE_VARIABLE]: role, [ENGINE_VARIABLE]: engine };
  const execArgv = ['--import', 'tsx', '--expose-gc'];
  const child = fork(new URL('relay/worker.ts', import.meta.url), { env, execArgv });
  const report = await nextReport(child);
  if (report.kind !== 'listening') throw new Error('the process did not listen');
  return { child, address: report.address };
}

async function nextReport(child: ChildProcess): Promise<Report> {
  const [report] = (await once(child, 'message')) as [Report];
  return report;
}

async function readUsage({ child }: Worker): Promise<Usage> {
  child.send('usage');
  const report = await nextReport(child);
  if (report.kind !== 'usage') throw new Error('no usage was reported');
  return report;
}

/** One completion, in the words of both relays; the bare one hands them to the engine as they are. */
function renderBody(content: string): string {
  return JSON.stringify({
    model: MODEL,
    messages: [{ role: 'user', content }],
    stream: true,
    max_tokens: TOKENS,
    attempt: 'a-1',
    maxTokens: TOKENS,
  });
}

async function complete(address: string, body: string): Promise<void> {
  const answer = await agent.request({
    origin: `http://${address}`,
    path: '/v1/chat/completions',
    method: 'POST',
    headers: { authorization: `Bearer ${KEY}`, 'content-type': 'application/json' },
    body,
  });
  const text = await answer.body.text();
  const tokens = text.match(/lorry/g)?.length ?? 0;
  if (tokens !== TOKENS) throw new Error(`${tokens} tokens from ${address}: ${text.slice(0, 300)}`);
}

async function runRound(worker: Worker): Promise<Round> {
  const body = renderBody('is slot 4 free?');
  const before = await readUsage(worker);
  const startedAt = performance.now();
  const spans: number[] = [];
  let left = REQUESTS;
  const runCaller = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const sentAt = performance.now();
      await complete(worker.address, body);
      spans.push(performance.now() - sentAt);
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, runCaller));
  const seconds = (performance.now() - startedAt) / 1_000;
  const after = await readUsage(worker);
  return {
    cpuMsPerRequest: (after.cpuMs - before.cpuMs) / REQUESTS,
    requestsPerSecond: REQUESTS / seconds,
    medianMs: median(spans),
  };
}

/** The time of one completion when nothing else is under way. */
async function measureIdleLatency(address: string): Promise<number> {
  const body = renderBody('is slot 4 free?');
  const spans: number[] = [];
  for (let done = 0; done < REQUESTS / 4; done += 1) {
    const sentAt = performance.now();
    await complete(address, body);
    spans.push(performance.now() - sentAt);
  }
  return median(spans);
}

async function measureStreams(worker: Worker): Promise<number> {
  const before = await readUsage(worker);
  const body = renderBody(HOLD);
  const answers = await Promise.all(
    Array.from({ length: OPEN_STREAMS }, () =>
      agent.request({
        origin: `http://${worker.address}`,
        path: '/v1/chat/completions',
        method: 'POST',
        headers: { authorization: `Bearer ${KEY}`, 'content-type': 'application/json' },
        body,
      }),
    ),
  );
  const after = await readUsage(worker);
  for (const { body: stream } of answers) stream.on('error', () => undefined).destroy();
  return (after.residentBytes - before.residentBytes) / MB;
}

function median(values: readonly number[]): number {
  return [...values].sort((one, other) => one - other)[Math.floor(values.length / 2)] ?? 0;
}

function summarise(rounds: readonly Round[]): Round {
  return {
    cpuMsPerRequest: median(rounds.map((round) => round.cpuMsPerRequest)),
    requestsPerSecond: median(rounds.map((round) => round.requestsPerSecond)),
    medianMs: median(rounds.map((round) => round.medianMs)),
  };
}

async function alternateRounds(one: Worker, other: Worker): Promise<[Round[], Round[]]> {
  const rounds: [Round[], Round[]] = [[], []];
  // The first round of each warms up and is dropped.
  for (let round = 0; round <= ROUNDS; round += 1) {
    rounds[0].push(await runRound(one));
    rounds[1].push(await runRound(other));
  }
  return [rounds[0].slice(1), rounds[1].slice(1)];
}

const engine = await startWorker('engine');
const baseline = await startWorker('baseline', engine.address);
const entry = await startWorker('entry', engine.address);
const [baselineRounds, entryRounds] = await alternateRounds(baseline, entry);
const idle = {
  direct: await measureIdleLatency(engine.address),
  baseline: await measureIdleLatency(baseline.address),
  entry: await measureIdleLatency(entry.address),
};
const streams = {
  baseline: await measureStreams(baseline),
  entry: await measureStreams(entry),
};
const bare = summarise(baselineRounds);
const path = summarise(entryRounds);
const result = {
  tokensPerCompletion: TOKENS,
  baseline: bare,
  entry: path,
  ratioByProcessorTime: bare.cpuMsPerRequest / path.cpuMsPerRequest,
  ratioByThroughput: path.requestsPerSecond / bare.requestsPerSecond,
  addedLatencyMs: { baseline: idle.baseline - idle.direct, entry: idle.entry - idle.direct },
  idleLatencyMs: idle,
  mbPer1000OpenStreams: streams,
  bounds: { ratioByProcessorTime: MIN_RATIO, mbPer1000OpenStreams: MAX_MB_PER_1000_STREAMS },
};
for (const { child } of [engine, baseline, entry]) child.disconnect();
await agent.destroy();
mkdirSync(OUT, { recursive: true });
writeFileSync(new URL('relay.json', OUT), `${JSON.stringify(result, undefined, 2)}\n`);
process.stdout.write(`${JSON.stringify(result, undefined, 2)}\n`);
const isMissed = result.ratioByProcessorTime < MIN_RATIO || streams.entry > MAX_MB_PER_1000_STREAMS;
process.exitCode = isMissed ? 1 : 0;

/**
 * Callers that ask at a given rate, whatever becomes of what they asked before.
 */
import { Agent, request } from 'undici';
import { keyOf, MODEL, WORKSPACES } from './site.js';

const MAX_TOKENS = 40;
const END_MARK = '[DONE]';
const MS_PER_SECOND = 1_000;

/** What became of one request. */
export interface Answer {
  kind: 'whole' | 'late' | 'refused' | 'broken';
  /** Of a refusal: the kind of failure. */
  failure: string;
  status: number;
  /** When it was sent, and how long its answer took, in milliseconds. */
  at: number;
  tookMs: number;
  retryAfterMs: number | undefined;
  /** The same caller, come back at the time that it was told. */
  comeBack?: Answer;
}

export class Callers {
  private readonly agent = new Agent({ connections: 256 });
  private asked = 0;

  constructor(
    private readonly entries: readonly string[],
    private readonly deadlineMs: number,
  ) {}

  /** Asks once and reads the whole answer. */
  async ask(): Promise<Answer> {
    const index = this.asked++;
    const at = performance.now();
    const workspace = WORKSPACES[index % WORKSPACES.length] ?? '';
    const entry = this.entries[Math.floor(index / WORKSPACES.length) % this.entries.length];
    const answered = await request(`http://${entry ?? ''}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: this.agent,
      headers: {
        authorization: `Bearer ${keyOf(workspace)}`,
        'content-type': 'application/json',
        'x-request-deadline-ms': String(this.deadlineMs),
      },
      body: JSON.stringify({
        model: MODEL,
        messages: [{ role: 'user', content: `question ${index} of ${workspace}` }],
        max_tokens: MAX_TOKENS,
        stream: true,
      }),
    });
    const body = await answered.body.text();
    const tookMs = performance.now() - at;
    const told = answered.headers['retry-after'];
    return {
      kind: this.judge(answered.statusCode, body, tookMs),
      failure: /"kind":"(\w+)"/.exec(body)?.[1] ?? '',
      status: answered.statusCode,
      at,
      tookMs,
      retryAfterMs: told === undefined ? undefined : Number(told) * MS_PER_SECOND,
    };
  }

  /** Asks `rate` times a second; every `comeBackEvery`th that is refused comes back once. */
  async run(rate: number, spanMs: number, comeBackEvery: number): Promise<Answer[]> {
    const answers: Promise<Answer>[] = [];
    const startedAt = performance.now();
    let refused = 0;
    const one = async (): Promise<Answer> => {
      const answer = await this.ask();
      if (answer.kind !== 'refused' || answer.retryAfterMs === undefined) return answer;
      refused += 1;
      if (refused % comeBackEvery !== 0) return answer;
      await sleep(answer.retryAfterMs);
      return { ...answer, comeBack: await this.ask() };
    };
    const count = Math.floor((rate * spanMs) / MS_PER_SECOND);
    for (let index = 0; index < count; index += 1) {
      const dueAt = startedAt + (index * MS_PER_SECOND) / rate;
      const wait = dueAt - performance.now();
      if (wait > 0) await sleep(wait);
      answers.push(one());
    }
    return Promise.all(answers);
  }

  /** Requests answered in a second when so many callers ask again as soon as they are answered. */
  async measureCapacity(callers: number, spanMs: number): Promise<number> {
    const endAt = performance.now() + spanMs;
    let whole = 0;
    const repeat = async (): Promise<void> => {
      while (performance.now() < endAt) if ((await this.ask()).kind === 'whole') whole += 1;
    };
    await Promise.all(Array.from({ length: callers }, repeat));
    return (whole * MS_PER_SECOND) / spanMs;
  }

  close(): Promise<void> {
    return this.agent.close();
  }

  private judge(status: number, body: string, tookMs: number): Answer['kind'] {
    if (status !== 200) return 'refused';
    if (!body.includes(END_MARK)) return 'broken';
    return tookMs <= this.deadlineMs ? 'whole' : 'late';
  }
}

function sleep(spanMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, spanMs));
}

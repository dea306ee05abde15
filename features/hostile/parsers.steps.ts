import assert from 'node:assert/strict';
import { deflateRawSync } from 'node:zlib';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { completionBodySchema } from '../../src/adapters/callers/completion-schema.js';
import { codec } from '../../src/adapters/peers/codec.js';
import { parseEntrySettings } from '../../src/core/settings/index.js';

interface ParsersWorld {
  /** The text that `settings` were read from last. */
  text: string;
  settings: readonly ReturnType<typeof parseEntrySettings>[];
  decoded: readonly Decoded[];
  checked: number;
}

interface Decoded {
  text: unknown;
  value: unknown;
  isRefused: boolean;
  /** The code of the refusal, if it has one. */
  code: string | undefined;
}

const SEED = 20_261_203;
const FILE = 'entry.toml';
const VALID = `
name = "entry-1"
failureDomain = "site-1"
[listen]
callers = "127.0.0.1:1"
operators = "127.0.0.1:2"
peers = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
`;
const MESSAGE = { digests: [{ name: 'entry-1', sequence: 7, change: 3 }], summaries: [] };
/** Times that slow work is done again; work that is slow by itself is slow each time. */
const TRIES = 20;
/** What the peers' listener takes at most. */
const MESSAGE_BYTES = 65_536;

/** `text` with a random piece replaced by random characters. */
function damage(text: string): fc.Arbitrary<string> {
  return fc
    .record({ at: fc.nat(text.length), length: fc.nat(8), put: fc.string({ maxLength: 8 }) })
    .map(({ at, length, put }) => text.slice(0, at) + put + text.slice(at + length));
}

function sample<Value>(arbitrary: fc.Arbitrary<Value>, count: number): readonly Value[] {
  return fc.sample(arbitrary, { seed: SEED, numRuns: count });
}

When(
  '{int} random texts and damaged copies of a settings file are read as settings',
  function (this: ParsersWorld, count: number) {
    const texts = sample(fc.oneof(fc.string({ unit: 'binary' }), damage(VALID)), count);
    this.settings = texts.map((text) => parseEntrySettings(FILE, text));
  },
);

Then("each is refused with the file's name, or is valid", function (this: ParsersWorld) {
  const refused = this.settings.filter((result) => result.isErr());
  assert.ok(refused.length > 0, 'something is refused');
  for (const result of refused) {
    const failures = result._unsafeUnwrapErr();
    assert.ok(failures.length > 0, 'a refusal has failures');
    assert.ok(
      failures.every(({ message }) => message.startsWith(FILE)),
      'the file is named',
    );
  }
});

When('settings of {int} nested arrays are read', function (this: ParsersWorld, depth: number) {
  this.text = `a = ${'['.repeat(depth)}`;
  this.settings = [parseEntrySettings(FILE, this.text)];
});

Then(
  "they are refused with the file's name within {int} ms",
  function (this: ParsersWorld, boundMs: number) {
    const failures = this.settings[0]?._unsafeUnwrapErr() ?? [];
    assert.ok(failures[0]?.message.startsWith(FILE), 'the file is named');
    const tookMs = measureLeast(() => parseEntrySettings(FILE, this.text), boundMs);
    assert.ok(tookMs < boundMs, `${tookMs} ms`);
  },
);

/**
 * The time that `work` takes by itself. It does the same each time, so that what the clock adds to
 * its shortest run is time that the processor was elsewhere. It is done again only while it seems to
 * take `boundMs` or longer.
 */
function measureLeast(work: () => unknown, boundMs: number): number {
  let least = Infinity;
  for (let tries = 0; tries < TRIES && least >= boundMs; tries += 1) {
    const startedAt = performance.now();
    work();
    least = Math.min(least, performance.now() - startedAt);
  }
  return least;
}

function decode(text: unknown): Decoded {
  try {
    return { text, value: codec.input.deserialize(text), isRefused: false, code: undefined };
  } catch (error) {
    // tRPC turns what its transformer throws into a refusal of the request.
    const { code } = error as { code?: string };
    return { text, value: undefined, isRefused: true, code };
  }
}

When(
  '{int} random texts and damaged copies of a message between entries are decoded',
  function (this: ParsersWorld, count: number) {
    const arbitrary = fc.oneof(fc.string(), fc.jsonValue(), damage(codec.input.serialize(MESSAGE)));
    this.decoded = [codec.input.serialize(MESSAGE), ...sample(arbitrary, count)].map(decode);
  },
);

Then(
  'each decodes to the message or is refused within {int} ms',
  function (this: ParsersWorld, boundMs: number) {
    assert.deepEqual(this.decoded[0]?.value, MESSAGE);
    for (const { text } of this.decoded) {
      const tookMs = measureLeast(() => decode(text), boundMs);
      assert.ok(tookMs < boundMs, `${tookMs} ms`);
    }
    assert.ok(
      this.decoded.some(({ isRefused }) => isRefused),
      'something is refused',
    );
  },
);

When('a message of 64 KB unfolds into millions of empty arrays', function (this: ParsersWorld) {
  const bomb = deflateRawSync(`[${'[],'.repeat(10_500_000)}[]]`).toString('base64url');
  assert.ok(bomb.length < MESSAGE_BYTES, `${bomb.length}`);
  this.decoded = [decode(bomb)];
});

Then(
  "the entry's decoder refuses it unread and within {int} ms",
  function (this: ParsersWorld, boundMs: number) {
    const [decoded] = this.decoded;
    // zlib's word for an output beyond its bound: nothing of it reached the parser.
    assert.equal(decoded?.code, 'ERR_BUFFER_TOO_LARGE');
    const tookMs = measureLeast(() => decode(decoded.text), boundMs);
    assert.ok(tookMs < boundMs, `${tookMs} ms`);
  },
);

When(
  "{int} random JSON values are checked as a completion's body",
  function (this: ParsersWorld, count: number) {
    const shaped = fc.record(
      {
        model: fc.oneof(fc.string(), fc.jsonValue()),
        messages: fc.oneof(fc.array(fc.jsonValue()), fc.jsonValue()),
        max_tokens: fc.oneof(fc.double(), fc.integer(), fc.jsonValue()),
        seed: fc.oneof(fc.double(), fc.jsonValue()),
        n: fc.jsonValue(),
        stream: fc.jsonValue(),
        ['__proto__']: fc.jsonValue(),
      },
      { requiredKeys: [] },
    );
    const bodies = sample(fc.oneof(fc.jsonValue(), shaped), count);
    this.checked = bodies.filter((body) => {
      const result = completionBodySchema.safeParse(body);
      return result.success || result.error.issues.length > 0;
    }).length;
  },
);

Then('each check ends in a body or a list of faults', function (this: ParsersWorld) {
  assert.equal(this.checked, 500);
});

import assert from 'node:assert/strict';
import { deflateRawSync } from 'node:zlib';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { completionBodySchema } from '../../src/adapters/callers/completion-schema.js';
import { codec } from '../../src/adapters/peers/codec.js';
import { parseEntrySettings } from '../../src/core/settings/index.js';

interface ParsersWorld {
  settings: readonly ReturnType<typeof parseEntrySettings>[];
  decoded: readonly Decoded[];
  checked: number;
  tookMs: number;
}

interface Decoded {
  value: unknown;
  isRefused: boolean;
  tookMs: number;
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
  const startedAt = performance.now();
  this.settings = [parseEntrySettings(FILE, `a = ${'['.repeat(depth)}`)];
  this.tookMs = performance.now() - startedAt;
});

Then(
  "they are refused with the file's name within {int} ms",
  function (this: ParsersWorld, boundMs: number) {
    const failures = this.settings[0]?._unsafeUnwrapErr() ?? [];
    assert.ok(failures[0]?.message.startsWith(FILE), 'the file is named');
    assert.ok(this.tookMs < boundMs, `${this.tookMs} ms`);
  },
);

function decode(text: unknown): Decoded {
  const startedAt = performance.now();
  try {
    const value = codec.input.deserialize(text);
    return { value, isRefused: false, tookMs: performance.now() - startedAt };
  } catch {
    // tRPC turns what its transformer throws into a refusal of the request.
    return { value: undefined, isRefused: true, tookMs: performance.now() - startedAt };
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
    const longestMs = Math.max(...this.decoded.map(({ tookMs }) => tookMs));
    assert.ok(longestMs < boundMs, `${longestMs} ms`);
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
  "the entry's decoder refuses it within {int} ms",
  function (this: ParsersWorld, boundMs: number) {
    const { isRefused, tookMs } = this.decoded[0] ?? { isRefused: false, tookMs: 0 };
    assert.ok(isRefused, `read after ${tookMs} ms`);
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

import assert from 'node:assert/strict';
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { Then, When } from '@cucumber/cucumber';

interface Module {
  path: string;
  text: string;
}

interface BoundaryWorld {
  modules: Module[];
}

/** Names specific to the platform; standard HTTP names are not among them. */
const PLATFORM_NAMES =
  /Attempt-Id|Response-Seal|Not-Executed|Urgency-Level|Prompt-Prefix|Expect-Instance|Token-Count|traffic_split|kv_capacity_tokens|close_mode|max_attempts|heartbeat_ms|as_of\b/;
const ADAPTER_IMPORT = /from '(\.\.\/)+platform\//;
const CLOCK_OR_RANDOM = /Math\.random|setTimeout|setInterval|Date\.now|performance\.now/;

async function readModules(folder: string): Promise<Module[]> {
  const names = await readdir(folder, { recursive: true });
  const paths = names.filter((name) => name.endsWith('.ts')).map((name) => join(folder, name));
  return Promise.all(paths.map(async (path) => ({ path, text: await readFile(path, 'utf8') })));
}

function assertNone(modules: readonly Module[], pattern: RegExp): void {
  assert.ok(modules.length > 0);
  const found = modules.filter(({ text }) => pattern.test(text)).map(({ path }) => path);
  assert.deepEqual(found, []);
}

When('the modules of the product are read', async function (this: BoundaryWorld) {
  this.modules = await readModules('src');
});

When('the modules of the adapter are read', async function (this: BoundaryWorld) {
  this.modules = await readModules('platform');
});

Then('none of them names a header of the platform', function (this: BoundaryWorld) {
  assertNone(this.modules, PLATFORM_NAMES);
});

Then('none of them imports the adapter', function (this: BoundaryWorld) {
  const outside = this.modules.filter(({ path }) => !path.startsWith(join('src', 'adapters')));
  assertNone(outside, ADAPTER_IMPORT);
});

Then(
  'none of them sets a timer, reads a clock or draws a random number',
  function (this: BoundaryWorld) {
    assertNone(this.modules, CLOCK_OR_RANDOM);
  },
);

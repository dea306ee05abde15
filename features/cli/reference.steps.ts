import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { Then, When } from '@cucumber/cucumber';
import { renderPages, type Page } from '../../scripts/reference/pages.js';
import { EXITS } from '../../src/cli/exit-codes.js';
import { LOG_EVENTS } from '../../src/core/logger/index.js';

interface ReferenceWorld {
  pages: Page[];
}

function assertDistinct(numbers: readonly number[]): void {
  assert.equal(new Set(numbers).size, numbers.length, numbers.join(' '));
}

When('the reference pages are rendered', async function (this: ReferenceWorld) {
  this.pages = await renderPages();
});

Then(
  'each reference page stands in the repository word for word',
  async function (this: ReferenceWorld) {
    assert.ok(this.pages.length > 0);
    for (const { path, text } of this.pages) {
      assert.equal(await readFile(path, 'utf8'), text, `${path}: run "npm run reference"`);
    }
  },
);

Then('no two log events of the catalogue share a number', function () {
  assertDistinct(Object.values(LOG_EVENTS).map(({ number }) => number));
});

Then('no two exits share a code', function () {
  assertDistinct(Object.values(EXITS).map(({ code }) => code));
});

import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { Result } from 'neverthrow';
import { stringify } from 'smol-toml';
import {
  parseEntrySettings,
  type EntrySettings,
  type SettingsFailures,
} from '../../src/core/settings/index.js';

type Table = Record<string, unknown>;

interface SettingsWorld {
  table: Table;
  text?: string;
  result: Result<EntrySettings, SettingsFailures>;
}

function parentOf(table: Table, key: string): { parent: Table; last: string } {
  const steps = key.split('.');
  const last = steps.pop() ?? key;
  const parent = steps.reduce<Table>((at, step) => (at[step] ??= {}) as Table, table);
  return { parent, last };
}

Given('entry settings that are valid', function (this: SettingsWorld) {
  this.table = {
    name: 'entry-1',
    failureDomain: 'bandung',
    listen: {
      callers: '127.0.0.1:8080',
      operators: '127.0.0.1:8081',
      peers: '127.0.0.1:8082',
    },
    platform: { address: '127.0.0.1:7000' },
  };
});

Given(
  /^the entry settings have "([^"]+)" set to (.+)$/,
  function (this: SettingsWorld, key: string, value: string) {
    const { parent, last } = parentOf(this.table, key);
    parent[last] = JSON.parse(value);
  },
);

Given('the entry settings lack {string}', function (this: SettingsWorld, key: string) {
  const { parent, last } = parentOf(this.table, key);
  Reflect.deleteProperty(parent, last);
});

Given(
  'an entry settings file with the text {string}',
  function (this: SettingsWorld, text: string) {
    this.text = text;
  },
);

When('the entry settings are read', function (this: SettingsWorld) {
  this.result = parseEntrySettings('entry.toml', this.text ?? stringify(this.table));
});

Then(
  'the entry settings are accepted with {string} = {int}',
  function (this: SettingsWorld, key: string, value: number) {
    const settings = this.result._unsafeUnwrap();
    const { parent, last } = parentOf(settings, key);
    assert.equal(parent[last], value);
  },
);

Then(
  'the entry settings are refused for {string} showing {string} and advising {string}',
  function (this: SettingsWorld, key: string, shown: string, advice: string) {
    const failures = this.result._unsafeUnwrapErr();
    const failure = failures.find(({ message }) => message.startsWith(`entry.toml: ${key} = `));
    assert.ok(failure, `no fault for ${key} in ${JSON.stringify(failures)}`);
    assert.equal(failure.kind, 'settingsInvalid');
    assert.ok(failure.message.includes(shown), failure.message);
    assert.ok(failure.message.includes(advice), failure.message);
  },
);

Then('the entry settings have {int} faults', function (this: SettingsWorld, count: number) {
  assert.equal(this.result._unsafeUnwrapErr().length, count);
});

/**
 * Diagnosis of many requests from the logs of gateways.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { summarizeLoads, type LoadSummary } from '../../src/cli/diagnose/loads.js';
import { summarizeLosses, type LossSummary } from '../../src/cli/diagnose/losses.js';
import { renderTable } from '../../src/cli/diagnose/render.js';
import { runProgram } from './program.js';

interface DiagnoseWorld {
  lines: string[];
  summary: LossSummary;
  loads: LoadSummary;
  tookMs: number;
  exit: number | null;
}

type Values = Record<string, string | number>;

const TARGETS = { targetMs: 200, gapTargetMs: 300, route: 'chat' };
const SENT: Values = { name: 'requestSent' };
const ON_TIME: Values = { name: 'requestAnswered', outcome: 'answered', firstMs: 90, gapMs: 40 };
const LATE: Values = { ...ON_TIME, firstMs: 900 };

function ended(outcome: string, reason: string): Values {
  return { name: 'requestEnded', outcome, reason };
}

function attemptEnded(how: string, kind = 'ended'): Values {
  return { name: 'attemptEnded', how, kind };
}

const REQUESTS: Readonly<Record<string, readonly Values[]>> = {
  'began late at its only server': [SENT, LATE],
  'paused too long': [SENT, { ...ON_TIME, gapMs: 900 }],
  'went to a slow server': [{ ...SENT, slowness: 5.2 }, LATE],
  'was sent again after a stall': [SENT, attemptEnded('nothing moved there'), SENT, LATE],
  'was sent again after a refusal': [SENT, attemptEnded('refused with 503'), SENT, LATE],
  'waited for a replica': [{ name: 'requestWaits', why: 'no room' }, SENT, LATE],
  'found no replica': [{ name: 'requestWaits' }, ended('refused', 'no target in time')],
  'would have waited in vain': [{ name: 'requestWaits' }, ended('refused', 'no room in time')],
  'came from a workspace over its share': [
    { name: 'requestWaits' },
    ended('refused', 'the share of workspace market was used'),
  ],
  'had no retry left': [SENT, attemptEnded('status 500'), ended('refused', 'no repeats left')],
  'found all servers in a cooldown': [
    SENT,
    attemptEnded('refused with 503'),
    ended('refused', 'all targets are cooling down'),
  ],
  'found all its servers evacuated': [ended('refused', 'all its failure domains are evacuated')],
  'found no gateway with links': [ended('refused', 'no gateway reaches the service')],
  'broke off at its server': [
    SENT,
    attemptEnded('read ECONNRESET', 'broken'),
    ended('cut', 'read ECONNRESET'),
  ],
  'was failed by its server': [
    SENT,
    attemptEnded('status 500'),
    ended('failedThere', 'the backend server answered 500'),
  ],
  'ran out of time': [SENT, ended('failed', '')],
  'met a stopping gateway': [{ name: 'requestRefusedAtDoor', kind: 'stopping' }],
  'was refused at the door': [{ name: 'requestRefusedAtDoor', kind: 'routeUnknown' }],
};

function writeLines(request: string, lines: readonly Values[], at = 0): string[] {
  return lines.map((values) =>
    JSON.stringify({ at, source: 'gateway-1', request, tookMs: 950, ...TARGETS, ...values }),
  );
}

Given(/^the lines of a request that (.+)$/, function (this: DiagnoseWorld, happened: string) {
  const lines = REQUESTS[happened];
  assert.ok(lines);
  this.lines = writeLines('r-1', lines);
});

Given(
  'the lines of {int} requests of all kinds, {int} of which can not be read',
  function (this: DiagnoseWorld, count: number, unreadable: number) {
    const kinds = [...Object.values(REQUESTS), [SENT, ON_TIME]];
    this.lines = Array.from({ length: count }, (_, index) =>
      writeLines(`r-${index}`, kinds[index % kinds.length] ?? []),
    ).flat();
    for (let index = 0; index < unreadable; index += 1) this.lines.push('{"at":1,"name":"requestA');
  },
);

Given('a log of {int} lines', function (this: DiagnoseWorld, count: number) {
  this.lines = Array.from({ length: count / 2 }, (_, index) =>
    writeLines(`r-${index}`, [SENT, index % 3 === 0 ? LATE : ON_TIME], index),
  ).flat();
});

When('the lines are diagnosed', function (this: DiagnoseWorld) {
  const text = this.lines.join('\n');
  const startedAt = performance.now();
  this.summary = summarizeLosses([text]);
  this.tookMs = performance.now() - startedAt;
});

When('{string} reads an empty log', async function (this: DiagnoseWorld, command: string) {
  this.exit = (await runProgram([command, '/dev/null'])).code;
});

Then(
  /^1 request counts as (late|unserved) for the cause "(\w+)"$/,
  function (this: DiagnoseWorld, outcome: 'late' | 'unserved', cause: string) {
    const [route] = this.summary.routes;
    assert.equal(route?.[outcome], 1, JSON.stringify(this.summary));
    assert.deepEqual(route.causes, { [cause]: 1 });
  },
);

Then(
  'the causes of each route add up to its late and unserved requests',
  function (this: DiagnoseWorld) {
    for (const { late, unserved, causes } of this.summary.routes) {
      const sum = Object.values(causes).reduce((total, count) => total + count, 0);
      assert.equal(sum, late + unserved);
    }
    const { routes, seconds } = this.summary;
    const lost = (list: readonly { late: number; unserved: number }[]): number =>
      list.reduce((total, { late, unserved }) => total + late + unserved, 0);
    assert.ok(lost(routes) > 0);
    assert.equal(lost(seconds), lost(routes));
  },
);

Then(
  '{int} lines are told as unread, with their beginnings',
  function (this: DiagnoseWorld, count: number) {
    assert.equal(this.summary.unreadLines, count);
    const printed = renderTable(this.summary).join('\n');
    assert.match(printed, new RegExp(`${count} lines could not be read`));
    assert.match(printed, /\{"at":1,"name":"requestA/);
  },
);

Then('it took less than {int} s', function (this: DiagnoseWorld, seconds: number) {
  assert.ok(this.tookMs < seconds * 1_000, `${this.tookMs} ms`);
});

Then('it exits with {int}', function (this: DiagnoseWorld, code: number) {
  assert.equal(this.exit, code);
});

Given(
  'the logs of {int} gateways that each ordered {int} loads within a second, and {int} more {int} s later',
  function (this: DiagnoseWorld, gateways: number, loads: number, more: number, laterS: number) {
    const order = { name: 'orderSent', why: 'stageFree', causesLoad: true, beforeTraffic: false };
    this.lines = Array.from({ length: gateways }, (_, gateway) => [
      ...Array.from({ length: loads }, (_, index) => gateway * 100 + index * 200),
      ...Array.from({ length: more }, () => laterS * 1_000),
    ])
      .flat()
      .map((sentAt) => JSON.stringify({ ...order, sentAt }));
  },
);

When('their loads are diagnosed', function (this: DiagnoseWorld) {
  this.loads = summarizeLoads(this.lines);
});

Then(
  '{int} loads are told, {int} of them within 5 s',
  function (this: DiagnoseWorld, total: number, most: number) {
    assert.equal(this.loads.total, total);
    assert.equal(this.loads.most?.loads, most);
  },
);

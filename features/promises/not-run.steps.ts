import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { Given, Then, When, type DataTable, type World } from '@cucumber/cucumber';
import { ERRORS, type ErrorKind } from '../../src/core/errors/index.js';
import { waitFor } from '../support/waiting.js';
import { ask, type Told } from './asking.js';
import { BODY_TIMEOUT_MS, CAUSES, IDLE_MODEL, POOR_KEY, RARE_MODEL } from './causes.js';
import { startDeployment } from './deployment.js';
import { listRuns } from './runs.js';
import type { PromiseWorld } from './world.js';

/** What the callers were told in the course of bringing one kind about. */
interface CauseRow {
  kind: string;
  conclusion: string;
  told: readonly Told[];
}

interface NotRunWorld extends PromiseWorld, World {
  rows: CauseRow[];
  kinds: Set<string>;
}

const FEATURE = 'features/promises/not-run.feature';
const PROOF = 'docs/PROOF.md';
const KIND_ROW = /^ *\| (\w+) +\| (?:notRun|refused|unknown|failed) +\|$/gm;
const AMPLE = 1_000_000;

Given(
  'an entry before an engine and a service that keep journals of what they run',
  async function (this: NotRunWorld) {
    this.deployment = await startDeployment({
      engines: { 'fabric-1': 1 },
      replicaSize: 1,
      entryTables: `[callers]\nbodyTimeoutMs = ${BODY_TIMEOUT_MS}\n`,
      limits: { requestsPerSecond: AMPLE, concurrentRequests: AMPLE, tokensPerSecond: AMPLE },
    });
    const { platform } = this.deployment;
    const keyHash = createHash('sha256').update(POOR_KEY).digest('hex');
    const limits = { requestsPerSecond: 0.5, concurrentRequests: 1, tokensPerSecond: 1 };
    for (const model of [IDLE_MODEL, RARE_MODEL]) {
      await platform.put('model', model, { replicaSize: 1, replicas: 0 });
    }
    await platform.put('workspace', 'poor', { keyHashes: [keyHash], classes: ['batch'], limits });
    await this.deployment.whenWhole(1);
    await this.deployment.whenReady();
    await waitFor('the poor workspace to be known', async () => {
      const headers = { authorization: `Bearer ${POOR_KEY}`, 'x-request-class': 'batch' };
      const asked = { method: 'GET', path: '/v1/models', headers } as const;
      return (await ask(this.deployment.entry(0).callers, asked)).status === 200;
    });
  },
);

When('callers meet each of these errors', async function (this: NotRunWorld, table: DataTable) {
  this.rows = [];
  for (const { kind = '', conclusion = '' } of table.hashes()) {
    const cause = CAUSES[kind as ErrorKind];
    assert.ok(typeof cause === 'function', `${kind} has no cause`);
    this.rows.push({ kind, conclusion, told: await cause(this.deployment) });
  }
});

Then(
  'each of these callers was told the conclusion beside the error',
  function (this: NotRunWorld) {
    for (const { kind, conclusion, told } of this.rows) {
      const conclusions = told.filter(({ errorKind }) => errorKind === kind);
      const others = JSON.stringify(told.slice(0, 3)).slice(0, 600);
      assert.ok(conclusions.length > 0, `nobody was told ${kind}, but ${others}`);
      for (const one of conclusions) assert.equal(one.conclusion, conclusion, kind);
    }
  },
);

Then(
  'the journals show no run of a request that was told not run or refused',
  async function (this: NotRunWorld) {
    const ran = await listRuns(this.deployment);
    const told = this.rows.flatMap((row) => row.told);
    const denied = told.filter(
      ({ conclusion }) => conclusion === 'notRun' || conclusion === 'refused',
    );
    this.log(
      `${told.length} requests, ${denied.length} told notRun or refused, ${ran.size} in journals`,
    );
    const nameless = denied.filter(({ requestId }) => requestId === undefined);
    assert.deepEqual(nameless, []);
    assert.deepEqual(
      denied.filter(({ requestId }) => ran.has(requestId ?? '')),
      [],
    );
    // The rows of this feature that may have run did run, so that the journals are known to tell.
    const answered = told.filter(
      ({ status, requestId }) => status === 200 && requestId !== undefined,
    );
    const unseen = answered.filter(
      ({ requestId, body }) => !ran.has(requestId ?? '') && !isReplay(body),
    );
    assert.deepEqual(unseen, []);
  },
);

When(
  'the rows of this feature are held against the catalogue of errors',
  async function (this: NotRunWorld) {
    const text = await readFile(FEATURE, 'utf8');
    this.kinds = new Set([...text.matchAll(KIND_ROW)].map(([, kind]) => kind ?? ''));
  },
);

Then(
  'each kind has a row here, or a reason in docs\\/PROOF.md why no caller is told it',
  async function (this: NotRunWorld) {
    // The columns of the page are padded by the formatter.
    const proof = (await readFile(PROOF, 'utf8')).replace(/ +/g, ' ');
    const missing = Object.keys(ERRORS).filter((kind) => {
      const cause = CAUSES[kind as ErrorKind];
      if (typeof cause === 'function') return !this.kinds.has(kind);
      return !proof.includes(`| \`${kind}\` | ${cause.reason} |`);
    });
    assert.deepEqual(missing, []);
  },
);

/** An answer to a call that ran under another request's id. */
function isReplay(body: string): boolean {
  return body.includes('"path":"/check-ins"');
}

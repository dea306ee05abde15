/**
 * Diagnosis of requests from the logs of gateways.
 */
import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { CAUSES, explainRequest, type Finding } from '../../src/cli/explain/findings.js';
import { parseLines } from '../../src/cli/explain/log-lines.js';
import { ERRORS } from '../../src/core/errors/index.js';
import { LOG_EVENTS } from '../../src/core/logger/index.js';
import { createGatewayMetrics } from '../../src/gateway/operations/metrics.js';
import { waitFor } from '../support/waiting.js';
import { Site } from './site.js';
import type { GatewayWorld } from './world.js';

const OPERATIONS_PAGE = 'docs/OPERATIONS.md';
const SUPPRESSED_LINES = /^yuccasail_gateway_log_lines_suppressed_total (\d+)$/m;

function explain({ gateway }: GatewayWorld, id: string): Finding {
  return explainRequest(
    id,
    parseLines(gateway.lines.map((line) => JSON.stringify(line)).join('\n')),
  );
}

Then(
  'explaining the request tells {string} and shows {string}',
  async function (this: GatewayWorld, cause: string, shown: string) {
    await waitFor('the last line', () =>
      this.gateway.lines.some(
        ({ name, request }) => name === 'requestEnded' && request === this.lastId,
      ),
    );
    const { cause: found, lines, around } = explain(this, this.lastId);
    assert.equal(found, cause, JSON.stringify(lines));
    const names = [...lines, ...around].map(({ name }) => name);
    assert.ok((names as string[]).includes(shown), names.join());
  },
);

Then(
  'explaining the request {string} tells {string}',
  function (this: GatewayWorld, id: string, cause: string) {
    assert.equal(explain(this, id).cause, cause);
  },
);

Then('every event, cause and metric that the operations page names exists', async () => {
  const page = await readFile(OPERATIONS_PAGE, 'utf8');
  const known = new Set(
    [LOG_EVENTS, CAUSES, ERRORS].flatMap((catalogue) => Object.keys(catalogue)),
  );
  const metrics = await createGatewayMetrics().registry.metrics();
  const named = [...page.matchAll(/`([a-z]+[A-Z]\w+)`(?=[^|\n]*\|?)/g)].map(
    ([, name = '']) => name,
  );
  const fields = new Set(listFields(page));
  const unknown = named.filter((name) => !known.has(name) && !fields.has(name));
  assert.deepEqual(unknown, []);
  for (const [name] of page.matchAll(/yuccasail_gateway_\w+/g)) {
    assert.ok(metrics.includes(name), `${name} is not served`);
  }
  for (const cause of Object.keys(CAUSES)) {
    assert.ok(page.includes(`\`${cause}\``), `the page does not name ${cause}`);
  }
});

/** Field names of the example log lines on the page. */
function listFields(page: string): string[] {
  const lines = page.split('\n').filter((line) => line.startsWith('{'));
  return lines.flatMap((line) => Object.keys(JSON.parse(line) as object));
}

Given(
  'a site with {int} plain server and a ready gateway whose log nobody reads',
  async function (this: GatewayWorld, servers: number) {
    this.site = new Site();
    this.answers = [];
    await this.site.open();
    for (let index = 0; index < servers; index += 1) {
      await this.site.addServer({ id: `plain-${index}`, service: 'app' });
    }
    this.site.configure();
    this.gateway = await this.site.launch({ ...this.site.planGateway(), readsLog: false });
    await this.site.waitUntilReady(this.gateway);
  },
);

When(
  '{int} callers ask for {string}, {int} at once',
  async function (this: GatewayWorld, count: number, path: string, atOnce: number) {
    const ask = async (): Promise<void> => {
      while (this.answers.length < count) {
        this.answers.push(await this.site.request(this.gateway, { path }));
      }
    };
    await Promise.all(Array.from({ length: atOnce }, ask));
  },
);

Then('all of them were answered', function (this: GatewayWorld) {
  const statuses = new Set(this.answers.map(({ status, whole }) => (whole ? status : 0)));
  assert.deepEqual([...statuses], [200]);
});

Then('the gateway has left lines out and counted them', async function (this: GatewayWorld) {
  await waitFor('lines left out', async () => {
    await this.site.request(this.gateway, { path: '/list/1' });
    const { body } = await this.site.request(
      this.gateway,
      { path: '/metrics' },
      this.gateway.metrics,
    );
    return Number(SUPPRESSED_LINES.exec(body)?.[1]) > 0;
  });
});

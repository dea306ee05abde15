/**
 * A gateway process is killed while it passes on streams whose engine marks their end by its connection.
 * A caller must not take what has come until then for the whole answer.
 */
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { createConfiguration, MODEL } from '../lib/configuration.mjs';
import { ModelEngine } from '../lib/model.mjs';
import { sendRaw } from '../lib/raw-client.mjs';
import { now, runCase, waitFor } from '../lib/site.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const PIECES = 30;
const STREAMS = 12;
const PASS = { events: 1, everyMs: 80 };
const KILL_AFTER_MS = 1_000;

async function startEngines(site, runs) {
  const engines = [];
  for (const index of [0, 1, 2, 3]) {
    const engine = new ModelEngine(site, {
      id: `i-${index}`,
      service: 'lm-bench',
      zone: 'tacoma-hall',
      domain: 'd0',
      runs,
      pass: PASS,
      total: PIECES,
      endsWithConnection: true,
    });
    await engine.listen();
    engines.push(engine);
  }
  return engines;
}

async function waitForGroups(engines) {
  await waitFor('the groups to open', () => {
    const open = engines.filter(({ membership }) => membership?.state === 'open');
    return open.length === 2;
  });
  // The gateways learn of the last one.
  await sleep(1_000);
}

function countPieces({ body }) {
  return [...body.matchAll(/^id: \d+$/gm)].length;
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (site) => {
  const runs = [];
  site.store.put('config', 'main', createConfiguration());
  const engines = await startEngines(site, runs);
  const gateway = await site.planGateway('edge-tacoma-1', 'tacoma-hall');
  site.launch(gateway);
  await site.waitUntilReady(gateway);
  await waitForGroups(engines);
  const streams = Array.from({ length: STREAMS }, () =>
    sendRaw(gateway, 'POST', '/brief/2f', {
      deadlineMs: 6_000,
      body: '{}',
      headers: {
        Model: MODEL,
        'Token-Count': '714,175',
        'Prompt-Prefix': '5c1e07a2:40,91bd3f06:674',
      },
    }),
  );
  await sleep(KILL_AFTER_MS);
  if (hasTrouble) {
    gateway.child.kill('SIGKILL');
    site.record(`killed ${gateway.name}, which is started again after a second`);
    await gateway.exited;
    await sleep(1_000);
    site.launch(gateway);
    await site.waitUntilReady(gateway);
  }
  const records = await Promise.all(streams);
  site.recordRequests(records, runs);
  const isSuccess = ({ status, headers, outcome }) =>
    status === 200 && headers['response-seal'] !== undefined && outcome.startsWith('complete');
  const successes = records.filter(isSuccess);
  const shortened = successes.filter((record) => countPieces(record) < PIECES);
  for (const record of shortened) {
    const ms = Math.round(record.endedAt - record.sentAt);
    site.record(
      `${record.id}: a sealed 200 whose end came by a regular close after ${ms} ms, ` +
        `with ${countPieces(record)} of ${PIECES} pieces`,
    );
  }
  site.record(
    `${records.length} streams, ${successes.length} ended as complete successes, ` +
      `${shortened.length} of these lack pieces; now ${Math.round(site.at(now()))} ms`,
  );
  if (!hasTrouble && successes.length < STREAMS) throw new Error('streams failed without trouble');
  return shortened.length > 0;
});

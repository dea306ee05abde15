/**
 * The store cuts off the watches that wait, and removes the entry of an engine at the same moment. The
 * gateways ask again at once; they must stop sending to the engine within the bound.
 */
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { Client } from '../lib/client.mjs';
import { createConfiguration } from '../lib/configuration.mjs';
import { ServiceEngine } from '../lib/service.mjs';
import { BOUNDS, now, runCase } from '../lib/site.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONE = 'tacoma-hall';
const ROUNDS = 6;
const STAYING_ENGINES = 3;
const GATEWAYS = 3;
/** In a release the new engine starts first, and the old one leaves then. */
const LEAVES_AFTER_MS = 400;
/** The engine serves on after `drain_timeout_ms`: "a little longer". */
const LINGER_MS = 200;
const EVERY_MS = 20;
const WORK_MS = 85;
/** Allowed beyond the bound, for the time that a request is on its way. */
const MARGIN_MS = 20;
const BETWEEN_ROUNDS_MS = 5_000;

async function startEngine(site, id, runs) {
  const engine = new ServiceEngine(site, {
    id,
    service: 'gate-app',
    zone: ZONE,
    workMs: WORK_MS,
    runs,
  });
  await engine.listen();
  return engine;
}

/** The gateways whose logs don't say that they left following the store to another one. */
function findFollowers(plans) {
  const isRelying = ({ log }) =>
    (log.filter((line) => /following(Began|Ended)/.test(line)).at(-1) ?? '').includes('Ended');
  return plans.filter((plan) => !isRelying(plan));
}

async function play(site) {
  const runs = [];
  site.store.put('config', 'main', createConfiguration());
  for (let index = 1; index <= STAYING_ENGINES; index += 1)
    await startEngine(site, `i-app${index}`, runs);
  let old = await startEngine(site, 'i-old0', runs);
  const plans = [];
  for (let index = 1; index <= GATEWAYS; index += 1)
    plans.push(await site.planGateway(`edge-${index}`, ZONE));
  for (const plan of plans) {
    plan.seeds = plans.map(({ control }) => control);
    site.launch(plan);
  }
  for (const plan of plans) await site.waitUntilReady(plan);
  await sleep(3_000);
  // Only these have a watch that waits; nothing touches the connections of the others.
  const followers = new Set(findFollowers(plans).map(({ name }) => name));
  site.record(`gateways that follow the store: ${[...followers].join()}`);

  const answers = [];
  let isOver = false;
  const clients = plans.map((plan) => new Client(plan));
  const traffic = clients.map(async (client, index) => {
    await sleep(index * 7);
    for (let turn = 0; !isOver; turn += 1) {
      const isUnsafe = turn % 2 === 0;
      answers.push(
        isUnsafe
          ? client.send('POST', '/checkin/a', { body: '{"worker":1}' })
          : client.send('GET', '/lookup/a'),
      );
      await sleep(EVERY_MS);
    }
  });
  await sleep(4_000);

  let lateCount = 0;
  for (let round = 1; round <= ROUNDS; round += 1) {
    const next = await startEngine(site, `i-old${round}`, runs);
    await sleep(LEAVES_AFTER_MS);
    if (HAS_TROUBLE) site.record(`the store cuts off ${site.store.cutWatches()} waiting watches`);
    old.deregister();
    const removedAt = now();
    await sleep(BOUNDS.drain_timeout_ms + LINGER_MS);
    old.close();
    const own = runs.filter(({ engine }) => engine === old.id);
    const late = own.filter(({ at }) => at > removedAt + BOUNDS.drain_timeout_ms + MARGIN_MS);
    const gatewayOf = new Map(
      clients.flatMap(({ sent, gateway }) => sent.map(({ id }) => [id, gateway.name])),
    );
    const untouched = late.filter(({ id }) => !followers.has(gatewayOf.get(id)));
    const last = own.at(-1)?.at ?? removedAt;
    lateCount += untouched.length;
    site.record(
      `${old.id}: ${late.length} requests reached it later than ${BOUNDS.drain_timeout_ms} ms after its removal, ${untouched.length} of them from gateways without a watch; the last one ${(last - removedAt).toFixed(0)} ms after`,
    );
    old = next;
    await sleep(BETWEEN_ROUNDS_MS);
  }
  isOver = true;
  await Promise.all(traffic);
  const records = await Promise.all(answers);
  for (const client of clients) client.close();
  site.recordRequests(records, runs);
  site.record(`requests sent: ${records.length}, runs: ${runs.length}`);
  const ids = new Set(runs.map(({ id }) => id));
  for (const { id, path, status, outcome, gateway } of records) {
    if (status === 200 && outcome === 'complete') continue;
    const how = ids.has(id) && path.startsWith('/checkin') ? 'unsafe, ran, lost' : 'failed';
    site.record(`${id} by ${gateway}: ${how}, ${status} ${outcome}`);
  }
  return lateCount > 0;
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), play, BOUNDS);

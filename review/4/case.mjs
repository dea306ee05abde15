/**
 * Engines hand out wrong bytes: in few of their streams one event is spoiled. The callers must get every
 * piece once, or an answer that doesn't look complete.
 */
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { Client } from '../lib/client.mjs';
import { createConfiguration, MODEL } from '../lib/configuration.mjs';
import { ModelEngine } from '../lib/model.mjs';
import { runCase, waitFor } from '../lib/site.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ENGINES = 16;
const PIECES = 34;
/** A pass of 15 steps makes 15 tokens, which are three events of 5 tokens. */
const PASS = { events: 3, everyMs: 80 };
const STEPS_PER_PASS = 15;
const PER_SECOND = 60;
const SECONDS = 12;
const GARBLE_FROM_MS = 3_000;
/** `garble` of the site file: share 0.35 of the engines, x 0.02 of their answers, for 5.5 s. */
const GARBLE_MS = 5_500;
const GARBLE_SHARE = 0.35;
const GARBLE_X = 0.02;

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (site) => {
  const runs = [];
  let isGarbling = false;
  let spoiledCount = 0;
  /** Answers of the engines that garble, while they do. */
  let answerCount = 0;
  site.store.put('config', 'main', createConfiguration({ engine: { stride: STEPS_PER_PASS } }));
  const engines = [];
  for (let index = 0; index < ENGINES; index += 1) {
    const id = `i-lm${index + 1}`;
    const engine = new ModelEngine(site, {
      id,
      service: 'lm-bench',
      zone: 'tacoma-hall',
      domain: `fabric-${1 + Math.floor(index / 4)}`,
      runs,
      pass: PASS,
      total: PIECES,
      spoil: (run) => {
        if (!isGarbling || !garbling.has(id) || run.from > 0) return undefined;
        answerCount += 1;
        if (spoiledCount + 1 > GARBLE_X * answerCount) return undefined;
        spoiledCount += 1;
        return 8;
      },
    });
    await engine.listen();
    engines.push(engine);
  }
  const garbling = new Set();
  const plans = [await site.planGateway('edge-1', 'tacoma-hall')];
  plans.push(await site.planGateway('edge-2', 'tacoma-hall'));
  for (const plan of plans) plan.seeds = plans.map(({ control }) => control);
  for (const plan of plans) site.launch(plan);
  for (const plan of plans) await site.waitUntilReady(plan);
  const heads = () => engines.filter(({ membership }) => membership?.state === 'open');
  await waitFor('groups to open', () => heads().length === ENGINES / 2, 30_000);
  await sleep(1_000);
  for (const head of heads().slice(0, Math.floor(GARBLE_SHARE * heads().length) || 1))
    garbling.add(head.id);
  site.record(`open groups: ${heads().length}; engines that garble: ${[...garbling].join()}`);

  const clients = plans.map((plan) => new Client(plan));
  const answers = [];
  const count = PER_SECOND * SECONDS;
  for (let index = 0; index < count; index += 1) {
    const elapsed = (index * 1_000) / PER_SECOND;
    isGarbling = HAS_TROUBLE && elapsed >= GARBLE_FROM_MS && elapsed < GARBLE_FROM_MS + GARBLE_MS;
    answers.push(
      clients[index % clients.length].send('POST', '/brief/a', {
        deadlineMs: 6_000,
        body: 'x'.repeat(100),
        headers: {
          Model: MODEL,
          'Token-Count': '714,170',
          'Prompt-Prefix': `5c1e07a2:40,${(0xe4402b00 + index).toString(16)}:674`,
        },
      }),
    );
    await sleep(1_000 / PER_SECOND);
  }
  const records = await Promise.all(answers);
  for (const client of clients) client.close();
  site.recordRequests(records, runs);

  const broken = [];
  for (const { id, status, outcome, body } of records) {
    const pieces = [...body.matchAll(/^id: (\d+)$/gm)].map(([, piece]) => Number(piece));
    const own = runs.filter((run) => run.id === id);
    const isWhole = pieces.length === PIECES && pieces.every((piece, index) => piece === index + 1);
    const isSpoiled = own.some(({ spoiled }) => spoiled !== undefined);
    if (status !== 200 || outcome !== 'complete') {
      site.record(`${id}: ${status} ${outcome}, after ${pieces.length} pieces`);
    } else if (!isWhole) {
      const missing = Array.from({ length: PIECES }, (_, index) => index + 1).filter(
        (piece) => !pieces.includes(piece),
      );
      // A piece that no engine has made rightly is not held against the system.
      const made = missing.filter((piece) => own.some((run) => run.made.includes(piece)));
      site.record(
        `${id}: complete, but pieces ${missing.join()} are missing; ${made.join()} had been made rightly`,
      );
      if (made.length > 0) broken.push(id);
    }
    if (isSpoiled)
      for (const { engine, from, spoiled, made } of own)
        site.record(
          `  ${id} ran on ${engine} after event ${from}: made ${made.at(0)} to ${made.at(-1)}, spoiled ${spoiled ?? 'none'}`,
        );
  }
  site.record(
    `streams: ${records.length}; of engines that garble: ${answerCount}, spoiled: ${spoiledCount}; broken: ${broken.length}`,
  );
  return broken.length > 0;
});

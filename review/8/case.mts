/**
 * The operator sets a bound that is counted in seconds to a fraction; then all processes are killed at once
 * and started again with the settings in effect. Do requests get served again?
 *
 * TROUBLE=0 leaves the bound as it is; the settings files are written anew and the processes killed as well.
 */
import { once } from 'node:events';
import { readFile, writeFile } from 'node:fs/promises';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  exampleConfiguration,
  exampleHeaders,
} from '../../features/gateway/stand-ins/configuration.js';
import { main } from '../common-2/main.mjs';
import { ask, Site, type Answer, type Gateway } from '../common-2/site.mjs';
import { render } from '../common-2/template.mjs';

const TEMPLATE = 'deploy/gateway.toml.tmpl';
const GRACE_S = 8;
const GRACE_FRACTION_S = 7.5;
const RECOVERY_MS = 12_000;
const RESTART_MS = 900;

const withTrouble = process.env.TROUBLE !== '0';
const site = new Site();
const answers: Answer[] = [];
const exits = new Map<string, number>();
let isOver = false;
let asked = 0;

/** The settings of a machine, as far as the template uses them. */
async function renderSettings(gateway: Gateway, graceS: number): Promise<void> {
  const [ip] = gateway.callers.split(':');
  const text = render(await readFile(TEMPLATE, 'utf8'), {
    node_name: gateway.name,
    zone: gateway.zone,
    ip,
    heartbeat_ms: 1_200,
    seed_nodes: site.gateways.map(({ peers }) => peers),
    listen: {
      frontend_addr: gateway.callers,
      readiness_addr: gateway.readiness,
      control_addr: gateway.peers,
    },
    platform: { address: site.store.address },
    bounds: {
      drain_timeout_ms: 2_000,
      config_apply_ms: 2_000,
      grace_period_s: graceS,
      retry_budget_ratio: 0.2,
      retry_window_s: 10,
      retry_slack: 105,
      stall_ms: 6_000,
    },
  });
  // All gateways of this deployment have one address, so each needs a metrics port of its own.
  const port = 1 + Number(gateway.peers.split(':')[1]);
  await writeFile(gateway.file, text.replace(':9464', `:${port}`));
}

/** Starts a process, and starts it again a while after each end, with the settings in effect by then. */
function keepRunning(gateway: Gateway): void {
  site.launch(gateway);
  gateway.child.once('exit', (code, signal) => {
    if (isOver) return;
    exits.set(gateway.name, (exits.get(gateway.name) ?? 0) + 1);
    const last = (gateway.log.at(-1) ?? '').replace(/^.*\.toml: /, '');
    site.note(`${gateway.name} has ended: ${signal ?? `exit code ${code ?? 0}, ${last}`}`);
    setTimeout(() => {
      if (!isOver) keepRunning(gateway);
    }, RESTART_MS);
  });
}

async function runCaller(index: number): Promise<void> {
  for (let at = index; !isOver; at += 1) {
    const gateway = site.gateways[at % site.gateways.length];
    if (!gateway) return;
    asked += 1;
    const id = `request-${asked}`;
    const path = index % 2 === 0 ? '/list/x' : '/check/x';
    answers.push(
      await ask(gateway, { id, path, headers: exampleHeaders(id, 1_500), patienceMs: 2_000 }),
    );
    await sleep(100);
  }
}

function servedShare(from: number, to: number): { asked: number; served: number } {
  const sent = answers.filter(({ sentAt }) => sentAt >= from && sentAt < to);
  return {
    asked: sent.length,
    served: sent.filter(({ status, whole }) => status === 200 && whole).length,
  };
}

await main(site, async () => {
  await site.open();
  site.store.put('config', 'main', exampleConfiguration());
  site.startHeartbeats();
  for (const zone of ['north', 'east', 'south'])
    await site.addServer({ id: `app-${zone}`, service: 'app', zone });
  site.planGateways(['north', 'east', 'south']);
  for (const gateway of site.gateways) {
    await renderSettings(gateway, GRACE_S);
    keepRunning(gateway);
  }
  await Promise.all(site.gateways.map((gateway) => site.waitUntilReady(gateway)));
  const startedAt = performance.now();
  const callers = [0, 1, 2, 3].map(runCaller);
  await sleep(5_000);
  const graceS = withTrouble ? GRACE_FRACTION_S : GRACE_S;
  for (const gateway of site.gateways) {
    await renderSettings(gateway, graceS);
    gateway.child.kill('SIGHUP');
  }
  site.note(
    `the settings files are written anew with grace_period_s = ${graceS}, and SIGHUP is sent`,
  );
  await sleep(2_500);
  const killedAt = performance.now();
  site.note('all processes are killed');
  await Promise.all(
    site.gateways.map(async ({ child }) => {
      const ended = once(child, 'exit');
      child.kill('SIGKILL');
      await ended;
    }),
  );
  const backAt = performance.now() + RESTART_MS;
  await sleep(RESTART_MS + RECOVERY_MS + 10_000);
  isOver = true;
  await Promise.all(callers);
  for (const { id, gateway, status, whole, sentAt, endedAt, error } of answers) {
    const runs = site.runsOf(id).map(({ server, at }) => `${server} at ${site.at(at)}`);
    site.record.push(
      `${id} by ${gateway} sent ${site.at(sentAt)} ended ${site.at(endedAt)}: ${status ?? error ?? 'cut'}${whole ? '' : ', not whole'}; ran ${runs.join(', ') || 'nowhere'}`,
    );
  }
  const before = servedShare(startedAt, killedAt);
  const after = servedShare(backAt + RECOVERY_MS, Infinity);
  site.note(
    `ends of processes: ${[...exits].map(([name, count]) => `${name} ${count}`).join(', ')}`,
  );
  site.note(`before the kill ${before.served} of ${before.asked} were served`);
  site.note(
    `from ${RECOVERY_MS} ms after the restart ${after.served} of ${after.asked} were served`,
  );
  if (after.asked === 0 || before.served < before.asked / 4) return 2;
  const isBroken = after.served < after.asked / 4;
  site.note(isBroken ? 'BROKEN: RECOVER, less than a quarter is served' : 'the rule held');
  return isBroken ? 1 : 0;
});

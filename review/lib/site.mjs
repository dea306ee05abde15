/**
 * A small deployment on loopback addresses: the store, back ends and the gateway processes, which are
 * started with the run command and the settings template of the deploy file.
 */
import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { once } from 'node:events';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { Store } from './store.mjs';

const ROOT = resolve(fileURLToPath(new URL('../..', import.meta.url)));

/** The bounds of the site file `sites/halvorsen-passport.toml`, as on its sheet. */
export const BOUNDS = {
  contact_ms: 3_000,
  drain_timeout_ms: 2_000,
  grace_period_s: 8,
  config_apply_ms: 2_000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 105,
  stall_ms: 6_000,
};
/** Those of the sites with 27 machines and more, such as `demands/fraser-navroute-grown.toml`. */
export const GROWN_BOUNDS = {
  ...BOUNDS,
  contact_ms: 4_000,
  drain_timeout_ms: 3_000,
  config_apply_ms: 3_000,
};
const HEARTBEAT_MS = 1_200;

export const now = () => performance.now();

/** Renders the subset of the template language of DEPLOY.md that the template of the project uses. */
function render(template, fields) {
  const read = (path) => path.split('.').reduce((value, key) => value?.[key], fields);
  return template
    .replaceAll(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, path, inner) => {
      const value = read(path);
      if (!Array.isArray(value)) return value ? render(inner, fields) : '';
      return value
        .map((entry, index) =>
          inner
            .replaceAll('{{.}}', String(entry))
            .replaceAll('{{,}}', index < value.length - 1 ? ',' : ''),
        )
        .join('');
    })
    .replaceAll(/\{\{([\w.]+)\}\}/g, (_, path) => String(read(path) ?? ''));
}

async function freePort(host) {
  const server = createServer();
  await new Promise((done) => server.listen(0, host, done));
  const { port } = server.address();
  await new Promise((done) => server.close(done));
  return port;
}

function readRunCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

export class Site {
  constructor(recordFile, bounds = BOUNDS) {
    this.bounds = bounds;
    this.recordFile = recordFile;
    writeFileSync(recordFile, '');
    this.startedAt = now();
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.network = `127.${randomInt(1, 250)}.${randomInt(1, 250)}`;
    this.nextHost = 1;
    this.store = new Store();
    this.gateways = [];
    this.children = new Set();
    this.backends = [];
  }

  /** Writes one line to the record. */
  record(text) {
    appendFileSync(this.recordFile, `${this.at().toFixed(0).padStart(6)} ms  ${text}\n`);
  }

  /** Writes one line for each request: what was sent, on which engines it ran, and what was answered. */
  recordRequests(records, runs) {
    const runsOf = new Map();
    for (const run of runs) runsOf.set(run.id, [...(runsOf.get(run.id) ?? []), run]);
    const lines = records.map(({ id, path, gateway, sentAt, endedAt, status, outcome }) => {
      const ran = (runsOf.get(id) ?? []).map(
        ({ engine, at, from }) =>
          `${engine}${from ? ` after event ${from}` : ''} at ${this.at(at).toFixed(0)}`,
      );
      const sent = `sent ${path} to ${gateway} at ${this.at(sentAt).toFixed(0)}`;
      const answered = `answered ${status} ${outcome} at ${this.at(endedAt).toFixed(0)}`;
      return `  ${id}: ${sent}; ran on ${ran.join(', ') || 'none'}; ${answered}`;
    });
    appendFileSync(this.recordFile, `Requests, times in ms:\n${lines.join('\n')}\n`);
  }

  /** Milliseconds since the start of the script. */
  at(time = now()) {
    return time - this.startedAt;
  }

  host() {
    this.nextHost += 1;
    return `${this.network}.${this.nextHost}`;
  }

  async open() {
    await this.store.listen(this.host());
  }

  async planGateway(name, zone, seeds = []) {
    const ip = this.host();
    const [frontend, readiness, control] = [
      await freePort(ip),
      await freePort(ip),
      await freePort(ip),
    ];
    return {
      name,
      zone,
      ip,
      frontend: `${ip}:${frontend}`,
      readiness: `${ip}:${readiness}`,
      control: `${ip}:${control}`,
      seeds,
      lives: 0,
      log: [],
    };
  }

  /** Starts the gateway process; again after its end, if `plan` was used before. */
  launch(plan) {
    const fields = {
      node_name: plan.name,
      zone: plan.zone,
      ip: plan.ip,
      seed_nodes: plan.seeds,
      listen: {
        frontend_addr: plan.frontend,
        readiness_addr: plan.readiness,
        control_addr: plan.control,
      },
      bounds: this.bounds,
      platform: { address: this.store.address },
      heartbeat_ms: HEARTBEAT_MS,
    };
    const template = readFileSync(join(ROOT, 'deploy/gateway.toml.tmpl'), 'utf8');
    const file = join(this.folder, `${plan.name}.toml`);
    writeFileSync(file, render(template, fields));
    const [, ...args] = readRunCommand().map((word) =>
      word === '/etc/yuccasail/local.toml' ? file : word,
    );
    const child = spawn(process.execPath, args, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.children.add(child);
    plan.lives += 1;
    plan.child = child;
    plan.exited = once(child, 'exit').then(([code, signal]) => {
      this.children.delete(child);
      return signal ?? code;
    });
    createInterface({ input: child.stdout }).on('line', (line) => {
      plan.log.push(line);
    });
    if (!this.gateways.includes(plan)) this.gateways.push(plan);
    return plan;
  }

  async waitUntilReady(plan, timeoutMs = 15_000) {
    const endsAt = now() + timeoutMs;
    while (now() < endsAt) {
      const status = await getStatus(plan.readiness, '/readyz');
      if (status === 200) return;
      await sleep(50);
    }
    throw new Error(`${plan.name} is not ready`);
  }

  /** Ends all processes that the site has started. */
  async close() {
    for (const child of this.children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(this.gateways.map(({ exited }) => exited));
    for (const backend of this.backends) backend.close();
    this.store.close();
    if (process.env.KEEP) {
      for (const { name, log } of this.gateways)
        writeFileSync(join(process.env.KEEP, `${name}.log`), log.join('\n'));
    }
    rmSync(this.folder, { recursive: true, force: true });
  }
}

function getStatus(address, path) {
  const [host, port] = address.split(':');
  return new Promise((done) => {
    const request = httpRequest({ host, port, path, agent: false, timeout: 1_000 }, (response) => {
      response.resume();
      done(response.statusCode);
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => done(0));
    request.end();
  });
}

/** Waits until `condition` holds; throws after `timeoutMs`. */
export async function waitFor(what, condition, timeoutMs = 20_000) {
  const endsAt = now() + timeoutMs;
  while (now() < endsAt) {
    if (condition()) return;
    await sleep(20);
  }
  throw new Error(`timeout: ${what}`);
}

/** Runs a case: exits with 1 if it returns true for "the rule was broken", 0 if not, 2 if it can't run. */
export async function runCase(recordFile, play, bounds = BOUNDS) {
  const site = new Site(recordFile, bounds);
  let code = 2;
  const guard = sleep(110_000, undefined, { ref: false }).then(() => {
    throw new Error('the case took too long');
  });
  try {
    await site.open();
    const isBroken = await Promise.race([play(site), guard]);
    code = isBroken ? 1 : 0;
    site.record(isBroken ? 'RESULT: the rule was broken' : 'RESULT: the rule held');
  } catch (error) {
    site.record(`RESULT: could not run: ${error.stack}`);
  }
  await site.close();
  process.exit(code);
}

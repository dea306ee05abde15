/**
 * Decisions of the quarantine table, without a network.
 */
import assert from 'node:assert/strict';
import { Before, Given, Then, When } from '@cucumber/cucumber';
import {
  partFingerprint,
  QuarantineTable,
  type RequestReport,
} from '../../src/controllers/quarantine/index.js';
import type { PeeringModel } from './peering-model.js';

interface DecisionWorld {
  table: QuarantineTable;
  now: number;
  fingerprints: Set<string>;
  /** When servers ended that ended one after the other. */
  endTimes: Map<string, number>;
  model: PeeringModel;
}

const FINGERPRINT = 'x';
/** Longer than reports of one server's end take to arrive. */
const END_INTERVAL_MS = 5_000;

Before({ tags: '@quarantine-table' }, function (this: DecisionWorld) {
  this.table = new QuarantineTable();
  this.now = 0;
  this.fingerprints = new Set();
  this.endTimes = new Map();
});

function endReport(fingerprint: string, server: string, ageMs = 0): RequestReport {
  return { kind: 'serverEnded', fingerprint, server, ageMs };
}

function recordEnds(world: DecisionWorld, fingerprint: string, servers: readonly string[]): void {
  for (const server of servers) {
    world.fingerprints.add(fingerprint);
    world.table.recordOwnFailure(server, [[fingerprint]], world.now, world.now);
  }
}

function parseNames(list: string): string[] {
  return [...list.matchAll(/"(\w+)"/g)].map(([, name = '']) => name);
}

function assertQuarantined({ table, now }: DecisionWorld, expected: readonly string[]): void {
  const names = table.listQuarantined(now).map(({ fingerprint }) => fingerprint);
  assert.deepEqual(names, expected);
}

Given(
  /^a request "(\w)" that (?:ended|was at the ends of) the servers (.*)$/,
  function (this: DecisionWorld, fingerprint: string, servers: string) {
    recordEnds(this, fingerprint, parseNames(servers));
  },
);

When(
  /^the request "(\w)" is told to have been at the ends of (.*) too$/,
  function (this: DecisionWorld, fingerprint: string, servers: string) {
    this.fingerprints.add(fingerprint);
    for (const server of parseNames(servers)) {
      this.table.applyReports([endReport(fingerprint, server, 100)], this.now);
    }
  },
);

/** Records that servers ended one after the other, each while `requestsAt` of it ran there. */
function recordEndsInTurn(
  world: DecisionWorld,
  servers: string,
  requestsAt: (server: string) => readonly (readonly string[])[],
): void {
  for (const server of parseNames(servers)) {
    world.now += END_INTERVAL_MS;
    world.endTimes.set(server, world.now);
    world.table.recordOwnFailure(server, requestsAt(server), world.now, world.now);
  }
}

Given(
  /^the servers (.*) ended under a part "(\w)", beside the request "(\w)"$/,
  function (this: DecisionWorld, servers: string, part: string, request: string) {
    recordEndsInTurn(this, servers, (server) => [
      [`with-${part}-at-${server}`, partFingerprint(part)],
      [request],
    ]);
  },
);

Given('a request with a part {string} that was answered', function (this: DecisionWorld, part) {
  this.table.recordOwnAnswer(['answered', partFingerprint(String(part))], this.now, this.now);
});

Given(
  /^the servers (.*) ended under a part "(\w)" that comes with a part "(\w)"$/,
  function (this: DecisionWorld, servers: string, part: string, other: string) {
    recordEndsInTurn(this, servers, (server) => [
      [`with-${part}-at-${server}`, partFingerprint(part), partFingerprint(other)],
    ]);
  },
);

When(
  /^the servers (.*) end under a part "(\w)"$/,
  function (this: DecisionWorld, servers: string, part: string) {
    recordEndsInTurn(this, servers, (server) => [
      [`with-${part}-at-${server}`, partFingerprint(part)],
    ]);
  },
);

Given(
  /^the servers (.*) ended one after the other under a request "(\w)"$/,
  function (this: DecisionWorld, servers: string, request: string) {
    recordEndsInTurn(this, servers, () => [[request]]);
  },
);

When(
  /^requests with a part "(\w)" are told to have been at the ends of (.*) too$/,
  function (this: DecisionWorld, part: string, servers: string) {
    for (const server of parseNames(servers)) {
      const ageMs = this.now - (this.endTimes.get(server) ?? this.now);
      const report = endReport(`with-${part}-at-${server}`, server, ageMs);
      this.table.applyReports([{ ...report, parts: [partFingerprint(part)] }], this.now);
    }
  },
);

When(
  'another gateway tells that it holds the part {string}',
  function (this: DecisionWorld, part: string) {
    const ageMs = 50;
    this.now += 2 * ageMs;
    const notice = { fingerprint: partFingerprint(part), ageMs, leftMs: 500_000 };
    this.table.applyNotice(notice, this.now);
  },
);

Then('only the part {string} is in quarantine', function (this: DecisionWorld, part: string) {
  assertQuarantined(this, [partFingerprint(part)]);
});

Then('requests with {string} are in quarantine', function (this: DecisionWorld, part: string) {
  const fingerprints = ['another', partFingerprint(part)];
  assert.ok(this.table.remainingMs(fingerprints, this.now) !== undefined);
});

Then(
  'another gateway that still tells of {string} is not followed',
  function (this: DecisionWorld, fingerprint: string) {
    const notice = { fingerprint, ageMs: 50, leftMs: 500_000 };
    assert.equal(this.table.applyNotice(notice, this.now), false);
  },
);

When('a server {string} ends under {string}', function (this: DecisionWorld, server, fingerprint) {
  this.now += END_INTERVAL_MS;
  recordEnds(this, String(fingerprint), [String(server)]);
});

When(
  'it is answered, and a server {string} ends under it',
  function (this: DecisionWorld, server: string) {
    this.now += END_INTERVAL_MS;
    this.table.recordOwnAnswer([FINGERPRINT], this.now, this.now);
    assert.ok(this.table.listOwnReports(this.now).some(({ kind }) => kind === 'answered'));
    this.now += END_INTERVAL_MS;
    recordEnds(this, FINGERPRINT, [server]);
  },
);

Then(
  '{int} more answers after the next tell the other gateways nothing more',
  function (this: DecisionWorld, answers: number) {
    const answer = (): void => {
      this.table.recordOwnAnswer([FINGERPRINT], this.now, this.now);
    };
    answer();
    const reportCount = this.table.listOwnReports(this.now).length;
    for (let index = 0; index < answers; index += 1) answer();
    assert.equal(this.table.listOwnReports(this.now).length, reportCount);
  },
);

When(/^the servers (.*) end under it$/, function (this: DecisionWorld, servers: string) {
  this.now += END_INTERVAL_MS;
  recordEnds(this, FINGERPRINT, parseNames(servers));
});

When('another gateway tells that it was answered', function (this: DecisionWorld) {
  this.now += END_INTERVAL_MS;
  this.table.applyReports([{ kind: 'answered', fingerprint: FINGERPRINT, ageMs: 200 }], this.now);
});

When(
  '{int} gateways tell within {int} ms that the server {string} ended under {string}',
  function (this: DecisionWorld, gateways: number, withinMs: number, server: string, name: string) {
    this.now = withinMs;
    for (let index = 0; index < gateways; index += 1) {
      const ageMs = Math.round((index * withinMs) / gateways);
      this.table.applyReports([endReport(name, server, ageMs)], this.now);
    }
    this.fingerprints.add(name);
  },
);

When(
  'it ends under {string} again {int} ms and {int} ms later',
  function (this: DecisionWorld, fingerprint: string, oneMs: number, otherMs: number) {
    const before = this.now;
    for (const span of [oneMs, otherMs]) {
      this.now = before + span;
      recordEnds(this, fingerprint, ['a']);
    }
  },
);

When('{int} ms pass for the gateway', function (this: DecisionWorld, ms: number) {
  this.now += ms;
});

When(
  '{int} requests are each at the end of one server, and {string} at three',
  function (this: DecisionWorld, requests: number, name: string) {
    recordEnds(this, name, ['a', 'b', 'c']);
    for (let index = 0; index < requests; index += 1)
      recordEnds(this, `other-${index}`, [`s-${index}`]);
  },
);

When(
  '{int} requests are each at the ends of three servers of their own',
  function (this: DecisionWorld, requests: number) {
    for (let index = 0; index < requests; index += 1)
      recordEnds(this, `other-${index}`, [`${index}-a`, `${index}-b`, `${index}-c`]);
  },
);

Then(
  '{int} of them are in quarantine, the last one too',
  function (this: DecisionWorld, expected: number) {
    const held = [...this.fingerprints].filter(
      (each) => this.table.remainingMs([each], this.now) !== undefined,
    );
    assert.equal(held.length, expected);
    assert.equal(held.at(-1), [...this.fingerprints].at(-1));
  },
);

Then('only {string} is in quarantine', function (this: DecisionWorld, name: string) {
  assertQuarantined(this, [name]);
});

Then('{string} is in quarantine', function (this: DecisionWorld, name: string) {
  assert.ok(this.table.remainingMs([name], this.now) !== undefined);
});

Then('nothing is in quarantine', function (this: DecisionWorld) {
  assertQuarantined(this, []);
});

Then(
  'nothing is in quarantine, also where a third gateway still tells of it',
  function (this: DecisionWorld) {
    const quarantined = { fingerprint: FINGERPRINT, ageMs: END_INTERVAL_MS, leftMs: 500_000 };
    assert.equal(this.table.applyNotice(quarantined, this.now), false);
    assertQuarantined(this, []);
  },
);

Then(
  'at most {int} of them are remembered, {string} among them',
  function (this: DecisionWorld, limit: number, name: string) {
    assert.ok(this.table.size <= limit, `${this.table.size} are remembered`);
    assertQuarantined(this, [name]);
  },
);

Then('a digest tells of at most {int} of them', function (this: DecisionWorld, limit: number) {
  assert.ok(this.table.listOwnReports(this.now).length <= limit);
});

When(
  'three of them each report a server that ended under one request',
  function (this: DecisionWorld) {
    const { gateways } = this.model;
    const reporters = [0, 1, 2].map((part) => gateways[Math.floor((part * gateways.length) / 3)]);
    reporters.forEach((gateway, index) => {
      if (gateway) gateway.reports = [endReport(FINGERPRINT, `server-${index}`)];
    });
  },
);

Then('all know of the three ends {int} ms later', function (this: DecisionWorld, ms: number) {
  this.model.run(ms);
  const uninformed = this.model.gateways.filter(
    ({ reportedServerEnds: endsHeard, reports }) => endsHeard.size + reports.length < 3,
  );
  assert.deepEqual(
    uninformed.map(({ name }) => name),
    [],
  );
});

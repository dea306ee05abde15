import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { InstanceHealth } from '../../src/board/index.js';
import { findReplicaLoss, recordFailure } from '../../src/controllers/health/index.js';
import { engineReportSchema, type EngineReport } from '../../src/adapters/engines/index.js';
import type { DomainPlan, Replica } from '../../src/objects/index.js';

interface LossWorld {
  replica: Replica;
  health: Map<string, InstanceHealth>;
}

const NOW = 100_000;
const FRESH_MS = 2_000;
const MEMBER = 'engine-1';
const MEMBERS = ['engine-0', MEMBER, 'engine-2'];
const UNHEARD_STATE = /^sent no report for (\d+) ms$/;

Given(
  'a request that runs at a replica of 3 with fencing token {int}',
  function (this: LossWorld, fence: number) {
    const members = MEMBERS.map((instance) => ({ instance, incarnation: `${instance}-a` }));
    this.replica = { id: 'r-1', model: 'pass', weights: '1', fence, phase: 'whole', members };
    const reports = members.map(({ instance, incarnation }, rank) =>
      engineReportSchema.parse({
        instance,
        incarnation,
        state: 'ready',
        replica: { id: 'r-1', fence, model: 'pass', weights: '1', rank, size: members.length },
        fence,
        leaving: false,
        inFlight: 0,
        adapters: [],
        cacheSequence: 0,
      }),
    );
    this.health = new Map(reports.map((report) => [report.instance, { report, heardAt: NOW }]));
  },
);

When(/^one of the members (.+)$/, function (this: LossWorld, state: string) {
  const before = this.health.get(MEMBER);
  assert.ok(before?.report);
  const unheardMs = UNHEARD_STATE.exec(state)?.[1];
  if (unheardMs !== undefined) {
    this.health.set(MEMBER, { ...before, heardAt: NOW - Number(unheardMs) });
    return;
  }
  switch (state) {
    case 'reports that it is ready':
      return;
    case 'failed one probe':
      this.health.set(MEMBER, recordFailure(before, NOW));
      return;
    case 'is in a replica that the plan released':
      this.replica = { ...this.replica, phase: 'released', fence: 9 };
      return;
    case 'drains with its replica':
      this.replica = { ...this.replica, phase: 'draining', fence: 8 };
      break;
  }
  const report = { ...before.report, ...getChangedFields(before.report, state) };
  this.health.set(MEMBER, { report, heardAt: NOW });
});

Then(/^the request (stays|moves: \w+)$/, function (this: LossWorld, outcome: string) {
  const value: DomainPlan = { fence: 9, replicas: [this.replica], spares: [] };
  const plans = new Map([['fabric-1', { version: 1, value }]]);
  const serving = { replica: 'r-1', fence: 7, members: MEMBERS };
  const loss = findReplicaLoss({ plans, health: this.health }, serving, NOW, FRESH_MS);
  assert.equal(loss === undefined ? 'stays' : `moves: ${loss.kind}`, outcome);
});

function getChangedFields(report: EngineReport, state: string): Partial<EngineReport> {
  switch (state) {
    case 'reports another incarnation':
      return { incarnation: `${MEMBER}-b` };
    case 'reports a higher fencing token':
      return { fence: 8, replica: report.replica && { ...report.replica, fence: 8 } };
    case 'reports that its replica failed':
      return { state: 'failed' };
    case 'drains with its replica':
      return { state: 'draining', fence: 8 };
    default:
      throw new Error(`unknown state "${state}"`);
  }
}

import assert from 'node:assert/strict';
import { Given, Then, When, type World } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { callService } from './callers.js';
import { CheckIns, isAnswered, isUnknown, type CheckIn } from './check-ins.js';
import { SERVICE, startDeployment } from './deployment.js';
import type { PromiseWorld } from './world.js';

interface OnceWorld extends PromiseWorld, World {
  checkIns: CheckIns;
  /** Of all check-ins that have to be answered in the end. */
  keys: string[];
  /** When the claimant of each key died or froze, by this process's clock. */
  lostAt: Map<string, number>;
  underWay: Promise<CheckIn>;
  underWayRepeat: CheckIn;
  outage: OutageCount;
}

interface OutageCount {
  /** What new check-ins were told. */
  refused: CheckIn[];
  /** What repeats of the recorded check-in were told. */
  recordedRepeats: CheckIn[];
  /** Statuses of plain reads. */
  reads: number[];
}

const ENTRIES = [0, 1, 2];
const FORMER_ENTRY = 0;
const CUT_ENTRY = 1;
const SURVIVORS = [2];
const OTHERS = [1, 2];
const UNHEARD_CLAIM_MS = 1_000;
const SLOW_MS = 1_000;
const DEADLINE_MS = 1_500;
const OUTAGE_TURN_MS = 50;
const MANY_SERVICE_FAULTS = 4;
const STORM_KEYS = 24;
const ALL_WRITES = 1_000;
const LOST_ANSWERS = 6;
const READ_PATH = `${SERVICE}/passes/7`;
const AMPLE = 1_000_000;

Given('three entries before two services that journal check-ins', async function (this: OnceWorld) {
  this.deployment = await startDeployment({
    engines: {},
    services: 2,
    entries: ENTRIES.length,
    limits: { requestsPerSecond: AMPLE, concurrentRequests: AMPLE },
    entryTables: `[calls]\nunheardClaimMs = ${UNHEARD_CLAIM_MS}\n`,
  });
  this.checkIns = new CheckIns(this.deployment);
  this.keys = [];
  this.lostAt = new Map();
  await this.deployment.whenReady();
  await waitFor('each entry to serve check-ins', async () => {
    const told = await Promise.all(ENTRIES.map((entry) => this.checkIns.send(entry, 'first')));
    return told.every(isAnswered);
  });
  await this.checkIns.whenState('first', 'answered');
});

When(
  '{int} check-ins arrive twice at each entry at once and are repeated until answered',
  async function (this: OnceWorld, count: number) {
    this.keys = createKeys('tap', count);
    const sent = this.keys.flatMap((key) =>
      [...ENTRIES, ...ENTRIES].map((entry) => this.checkIns.send(entry, key)),
    );
    await Promise.all(sent);
    await repeatAll(this, ENTRIES);
  },
);

When(
  "another worker's check-in arrives at each entry under a used key",
  async function (this: OnceWorld) {
    for (const entry of ENTRIES) {
      const told = await this.checkIns.send(entry, this.keys[0] ?? '', { body: 'someone else' });
      assert.equal(told.errorKind, 'keyReused');
    }
  },
);

Then(
  'each of the check-ins has run once and callers were told the truth',
  async function (this: OnceWorld) {
    await judgeAllRun(this);
  },
);

When(
  'one entry is killed while a check-in waits for its claim and another has run unanswered',
  async function (this: OnceWorld) {
    const { checkIns } = this;
    await cutServices(this, 'toSource');
    void checkIns.send(FORMER_ENTRY, 'sent');
    await checkIns.whenRun('sent');
    await checkIns.sendHeld(FORMER_ENTRY, 'unsent');
    await killEntry(this, FORMER_ENTRY, ['sent', 'unsent']);
    await cutServices(this, 'none');
    // The claim of the dead entry takes effect now.
    await this.deployment.platform.control({ releaseWrites: true });
    await checkIns.whenState('unsent', 'claimed');
    this.keys = ['unsent', 'sent', 'unrecorded'];
  },
);

When(
  'one entry is killed that has answered a check-in and could not record it',
  async function (this: OnceWorld) {
    const { deployment, checkIns } = this;
    await setServicesSlow(this);
    const answer = checkIns.send(CUT_ENTRY, 'unrecorded');
    await checkIns.whenRun('unrecorded');
    (await deployment.entry(CUT_ENTRY).platformLink.control({ cut: 'both' }))._unsafeUnwrap();
    assert.ok(isAnswered(await answer));
    await killEntry(this, CUT_ENTRY, ['unrecorded']);
    assert.equal(await checkIns.readState('unrecorded'), 'claimed');
  },
);

Then(
  'repeats of these check-ins are told that the outcome is unknown, at the entry that is left',
  async function (this: OnceWorld) {
    await expectUnknown(this, SURVIVORS);
  },
);

Then(
  'the first of them has not run, the others have run once, and callers were told the truth',
  async function (this: OnceWorld) {
    const runs = await this.checkIns.countRuns();
    assert.deepEqual(
      this.keys.map((key) => runs.get(key) ?? 0),
      [0, 1, 1],
    );
    await judge(this);
  },
);

Given(
  'a check-in that is answered and recorded, and one that is under way',
  async function (this: OnceWorld) {
    const { checkIns } = this;
    assert.ok(isAnswered(await checkIns.send(0, 'recorded')));
    await checkIns.whenState('recorded', 'answered');
    await setServicesSlow(this);
    this.underWay = checkIns.send(0, 'under-way');
    await checkIns.whenRun('under-way');
    this.keys = ['recorded', 'under-way'];
  },
);

When(
  'the platform is down for {int} s while callers go on at each entry',
  async function (this: OnceWorld, seconds: number) {
    const { deployment, checkIns } = this;
    await deployment.platform.control({ outage: 'refuse' });
    const outage: OutageCount = { refused: [], recordedRepeats: [], reads: [] };
    this.outage = outage;
    const end = performance.now() + seconds * 1_000;
    const open: Promise<unknown>[] = [];
    while (performance.now() < end) {
      open.push(...ENTRIES.map((entry) => callInOutage(this, entry)));
      await new Promise((resolve) => setTimeout(resolve, OUTAGE_TURN_MS));
    }
    assert.ok(isAnswered(await this.underWay));
    this.underWayRepeat = await checkIns.send(0, 'under-way');
    await Promise.all(open);
  },
);

Then(
  'the check-in under way was answered, also to its repeat at the same entry',
  async function (this: OnceWorld) {
    assert.ok(isAnswered(await this.underWay));
    assert.ok(isAnswered(this.underWayRepeat));
    assert.equal(await this.checkIns.readState('under-way'), 'claimed');
  },
);

Then(
  'all new check-ins were told not run, with a time to come back as for the recorded one',
  function (this: OnceWorld) {
    const { refused, recordedRepeats } = this.outage;
    for (const { errorKind, conclusion } of refused) {
      assert.deepEqual([errorKind, conclusion], ['recordUnavailable', 'notRun']);
    }
    // Of two repeats at one entry at once the later is told that the other is in progress.
    const kinds = new Set(recordedRepeats.map(({ errorKind = 'none' }) => errorKind));
    kinds.delete('callInProgress');
    assert.deepEqual([...kinds], ['recordUnavailable']);
    for (const { retryAfterMs = 0 } of [...refused, ...recordedRepeats]) {
      assert.ok(retryAfterMs > 0);
    }
    this.log(
      `in the outage 0 of ${refused.length} new check-ins were served, ` +
        `0 of ${recordedRepeats.length} repeats of a recorded one, and the one under way`,
    );
  },
);

Then('plain reads were served', function (this: OnceWorld) {
  const { reads } = this.outage;
  assert.deepEqual(new Set(reads), new Set([200]));
  this.log(`in the outage ${reads.length} of ${reads.length} plain reads were served`);
});

When('the platform is back and callers repeat all check-ins', async function (this: OnceWorld) {
  await this.deployment.platform.control({ outage: 'none' });
  const backAt = performance.now();
  await this.checkIns.repeat([0], this.keys.at(-1) ?? '', isAnswered);
  this.log(`first check-in answered ${elapsed(backAt)} ms after the outage`);
  await repeatAll(this, ENTRIES);
});

Then(
  'every check-in is answered, has run once, and callers were told the truth',
  async function (this: OnceWorld) {
    await repeatAll(this, ENTRIES);
    await judgeAllRun(this);
  },
);

When(
  'check-ins arrive at each entry while the platform holds writes and loses answers',
  async function (this: OnceWorld) {
    this.keys = createKeys('late', STORM_KEYS);
    await this.deployment.platform.control({ holdWrites: ALL_WRITES });
    const sent = this.keys.map((key, index) => this.checkIns.send(index % ENTRIES.length, key));
    const told = await Promise.all(sent);
    const refused = told.filter(({ conclusion }) => conclusion === 'notRun');
    assert.equal(refused.length, told.length);
    await this.deployment.platform.control({ holdWrites: 0, loseAnswersAfterEffect: LOST_ANSWERS });
  },
);

When(
  'callers repeat each check-in at the other entries, and the held writes take effect',
  async function (this: OnceWorld) {
    const half = this.keys.slice(0, STORM_KEYS / 2);
    await Promise.all(half.map((key, index) => this.checkIns.send((index + 1) % 3, key)));
    await this.deployment.platform.control({ releaseWrites: true });
    await repeatAll(this, [2, 0, 1]);
  },
);

When(
  "an entry with a claim is frozen until its caller's deadline has passed, and wakes",
  async function (this: OnceWorld) {
    await freezeWithClaim(this, 'overslept');
    const frozenAt = performance.now();
    // Nobody asks for the key meanwhile, so nobody gives the claim up.
    await waitFor('the deadline to pass', () => elapsed(frozenAt) > DEADLINE_MS);
    this.deployment.entry(FORMER_ENTRY).process.signal('SIGCONT');
  },
);

Then('a repeat of that check-in is answered', async function (this: OnceWorld) {
  await this.checkIns.repeat(OTHERS, 'overslept', isAnswered);
  await this.checkIns.whenState('overslept', 'answered');
  await judge(this);
});

When(
  'an entry is frozen while a check-in waits for its claim, which then takes effect',
  async function (this: OnceWorld) {
    await freezeWithClaim(this, 'frozen');
  },
);

Then(
  'repeats of that check-in are told that the outcome is unknown, at each other entry',
  async function (this: OnceWorld) {
    await expectUnknown(this, OTHERS);
  },
);

When('the frozen entry wakes', function (this: OnceWorld) {
  this.deployment.entry(FORMER_ENTRY).process.signal('SIGCONT');
});

Then(
  'its caller is told that the check-in was not run, and it has not',
  async function (this: OnceWorld) {
    const told = await this.underWay;
    assert.equal(told.conclusion, 'notRun', told.body);
    // Its entry has done with the claim once a later check-in of its own is on record.
    await settleMarker(this, `after-${told.key}`);
    assert.equal((await this.checkIns.countRuns()).get(told.key), undefined);
  },
);

Then(
  'repeats of that check-in are still told that its outcome is unknown, at every entry',
  async function (this: OnceWorld) {
    for (const entry of ENTRIES) {
      assert.ok(isUnknown(await this.checkIns.send(entry, 'frozen')));
    }
    assert.equal(await this.checkIns.readState('frozen'), 'unknown');
    assert.equal((await this.checkIns.countRuns()).get('frozen'), undefined);
    await judge(this);
  },
);

Given(
  'a check-in whose service resets after the run and one that is answered',
  async function (this: OnceWorld) {
    const { checkIns } = this;
    this.keys = ['reset', 'kept'];
    assert.ok(isAnswered(await checkIns.send(0, 'kept')));
    await checkIns.whenState('kept', 'answered');
    // Enough for any second run to be reset as well, wherever it went.
    await setServicesResetting(this, MANY_SERVICE_FAULTS);
    assert.ok(isUnknown(await checkIns.send(0, 'reset')));
    await checkIns.whenState('reset', 'unknown');
  },
);

When('both are repeated at each entry', async function (this: OnceWorld) {
  for (const entry of ENTRIES) await expectResetAndKept(this, entry);
});

When('all entries are killed and another one is started', async function (this: OnceWorld) {
  await Promise.all([...this.deployment.entries.values()].map(({ process }) => process.kill()));
  const entry = await this.deployment.startEntry();
  await waitFor('the new entry to be ready', () => entry.isReady());
});

Then(
  'a repeat of the first is told that its outcome is unknown and one of the second is answered',
  async function (this: OnceWorld) {
    await expectResetAndKept(this, ENTRIES.length);
  },
);

Then(
  'each of the two check-ins has run once and callers were told the truth',
  async function (this: OnceWorld) {
    await judgeAllRun(this);
  },
);

/** A new check-in, a repeat of the recorded one and a plain read. */
async function callInOutage(world: OnceWorld, entry: number): Promise<void> {
  const { deployment, checkIns, keys, outage } = world;
  const key = `outage-${keys.length}`;
  keys.push(key);
  const [refused, repeat, read] = await Promise.all([
    checkIns.send(entry, key),
    checkIns.send(entry, 'recorded'),
    callService(deployment.entry(entry).callers, 'GET', READ_PATH),
  ]);
  outage.refused.push(refused);
  outage.recordedRepeats.push(repeat);
  outage.reads.push(read.status);
}

async function expectResetAndKept({ checkIns }: OnceWorld, entry: number): Promise<void> {
  assert.ok(isUnknown(await checkIns.send(entry, 'reset')));
  assert.ok(isAnswered(await checkIns.send(entry, 'kept')));
}

/** Until then repeats are told that the call is in progress, and nothing else. */
async function expectUnknown(world: OnceWorld, entries: readonly number[]): Promise<void> {
  const { checkIns, keys } = world;
  const from = checkIns.all.length;
  await Promise.all(keys.map((key) => repeatUntilUnknown(world, entries, key)));
  const before = checkIns.all.slice(from).filter((told) => !isUnknown(told));
  assert.deepEqual(
    before.filter(({ errorKind }) => errorKind !== 'callInProgress'),
    [],
  );
  for (const key of keys) {
    for (const entry of entries) assert.ok(isUnknown(await checkIns.send(entry, key)));
  }
}

async function repeatUntilUnknown(
  { checkIns, lostAt, log }: OnceWorld,
  entries: readonly number[],
  key: string,
): Promise<void> {
  const told = await checkIns.repeat(entries, key, (one) => isUnknown(one) || isAnswered(one));
  assert.ok(isUnknown(told), `${key} was run after its claimant was lost: ${told.body}`);
  log(`${key}: unknown ${elapsed(lostAt.get(key) ?? 0)} ms after its claimant was lost`);
}

async function repeatAll({ checkIns, keys }: OnceWorld, entries: readonly number[]): Promise<void> {
  await Promise.all(keys.map((key) => checkIns.repeat(entries, key, isAnswered)));
}

/** The claim is in effect, and its answer waits for the frozen entry. */
async function freezeWithClaim(world: OnceWorld, key: string): Promise<void> {
  const { deployment, checkIns } = world;
  const held = await checkIns.sendHeld(FORMER_ENTRY, key, { deadlineMs: DEADLINE_MS });
  world.underWay = held.answer;
  deployment.entry(FORMER_ENTRY).process.signal('SIGSTOP');
  world.lostAt.set(key, performance.now());
  await deployment.platform.control({ releaseWrites: true });
  await checkIns.whenState(key, 'claimed');
  world.keys = [key];
}

async function settleMarker({ checkIns }: OnceWorld, key: string): Promise<void> {
  await checkIns.repeat([FORMER_ENTRY], key, isAnswered);
  await checkIns.whenState(key, 'answered');
}

async function killEntry(world: OnceWorld, entry: number, keys: readonly string[]): Promise<void> {
  await world.deployment.entry(entry).process.kill();
  for (const key of keys) world.lostAt.set(key, performance.now());
}

/** Between every entry and the services. */
async function cutServices({ deployment }: OnceWorld, cut: 'toSource' | 'none'): Promise<void> {
  for (const service of deployment.services.values()) await service.link({ cut });
}

/** The next check-in at either service takes long to be answered, not to be run. */
async function setServicesSlow({ deployment }: OnceWorld): Promise<void> {
  const faults = [{ kind: 'slow' as const, ms: SLOW_MS }];
  for (const service of deployment.services.values()) await service.control({ faults });
}

/** The next check-ins at either service are run and never answered. */
async function setServicesResetting({ deployment }: OnceWorld, length: number): Promise<void> {
  const faults = Array.from({ length }, () => ({ kind: 'resetAfterRun' as const }));
  for (const service of deployment.services.values()) await service.control({ faults });
}

async function judge(world: OnceWorld): Promise<void> {
  const { requests, denied, keysRun } = await world.checkIns.judge();
  world.log(`${requests} requests, ${denied} told not run or refused, ${keysRun} keys run`);
}

async function judgeAllRun(world: OnceWorld): Promise<void> {
  const runs = await world.checkIns.countRuns();
  const others = world.keys.filter((key) => runs.get(key) !== 1);
  assert.deepEqual(others, [], 'check-ins that did not run once');
  await judge(world);
}

function createKeys(prefix: string, length: number): string[] {
  return Array.from({ length }, (_, index) => `${prefix}-${index}`);
}

function elapsed(since: number): number {
  return Math.round(performance.now() - since);
}

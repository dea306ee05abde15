/**
 * The order of reading and sending, on a manual event loop.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createManualClock } from '../../src/core/clock/index.js';
import { InputFirstQueue } from '../../src/core/pending-input/index.js';

/** An event loop whose turns are taken by hand. */
class ManualLoop {
  readonly clock = createManualClock();
  private pending: (() => void)[] = [];

  now(): number {
    return this.clock.now();
  }

  onNextTurn(callback: () => void): void {
    this.pending.push(callback);
  }

  /** Reads input and calls back; what a callback throws is not passed on. */
  takeTurn(readingMs = 0): void {
    this.clock.advance(readingMs);
    const callbacks = this.pending;
    this.pending = [];
    for (const callback of callbacks) {
      try {
        callback();
      } catch (error) {
        assert.equal(error, FAILURE);
      }
    }
  }
}

interface QueueWorld {
  loop: ManualLoop;
  queue: InputFirstQueue;
  begun: number;
}

const FAILURE = new Error('work that fails');

function open(world: QueueWorld): void {
  world.loop = new ManualLoop();
  world.queue = new InputFirstQueue(world.loop);
  world.begun = 0;
}

function addWork(world: QueueWorld, takesMs = 0): void {
  world.queue.add(() => {
    world.begun += 1;
    world.loop.clock.advance(takesMs);
  });
}

Given('work is added to the queue', function (this: QueueWorld) {
  open(this);
  addWork(this);
});

Then('it begins once input was read twice', function (this: QueueWorld) {
  this.loop.takeTurn();
  assert.equal(this.begun, 0);
  this.loop.takeTurn();
  assert.equal(this.begun, 1);
});

Given(
  '{int} pieces of work are added, each of which takes {int} ms',
  function (this: QueueWorld, count: number, takesMs: number) {
    open(this);
    for (let index = 0; index < count; index += 1) addWork(this, takesMs);
  },
);

When('input was read twice', function (this: QueueWorld) {
  this.loop.takeTurn();
  this.loop.takeTurn();
});

Then(
  '{int} of them have begun, and as many more after each time that input is read',
  function (this: QueueWorld, each: number) {
    assert.equal(this.begun, each);
    this.loop.takeTurn();
    assert.equal(this.begun, Math.min(5, 2 * each));
  },
);

When('input was read, and again for 800 ms', function (this: QueueWorld) {
  this.loop.takeTurn();
  this.loop.takeTurn(800);
});

Then('0 of them have begun, and all after input was read once more', function (this: QueueWorld) {
  assert.equal(this.begun, 0);
  this.loop.takeTurn();
  assert.equal(this.begun, 5);
});

When('input was read 6 times for 300 ms each', function (this: QueueWorld) {
  for (let turn = 0; turn < 6; turn += 1) this.loop.takeTurn(300);
});

Then('all of them have begun', function (this: QueueWorld) {
  assert.equal(this.begun, 5);
});

Given('work is added that fails, and more behind it', function (this: QueueWorld) {
  open(this);
  this.queue.add(() => {
    throw FAILURE;
  });
  addWork(this);
});

When('input was read three times', function (this: QueueWorld) {
  for (let turn = 0; turn < 3; turn += 1) this.loop.takeTurn();
});

Then('the work behind it has begun', function (this: QueueWorld) {
  assert.equal(this.begun, 1);
});

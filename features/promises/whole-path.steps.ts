import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { askStreamed } from './callers.js';
import { startDeployment } from './deployment.js';
import { answerOf, createQuestion, type PromiseWorld } from './world.js';

Given(
  'a deployment with {int} engines that form {int} replica(s) of {int}',
  async function (this: PromiseWorld, engines: number, replicas: number, replicaSize: number) {
    this.deployment = await startDeployment({
      engines: { 'fabric-1': engines },
      replicas,
      replicaSize,
    });
    this.question = createQuestion(1);
    await this.deployment.whenWhole(replicas);
    await this.deployment.whenReady();
  },
);

When('a caller asks the entry for a streamed answer', async function (this: PromiseWorld) {
  this.reply = await askStreamed(this.deployment.entry(0).callers, this.question);
});

Then('the caller has the whole answer, byte for byte', function (this: PromiseWorld) {
  assert.deepEqual(
    { text: this.reply.text, whole: this.reply.whole, error: this.reply.errorKind },
    { text: answerOf(this.question), whole: true, error: undefined },
  );
});

Then(
  "the replica's leader ran the request once and no other engine ran any",
  async function (this: PromiseWorld) {
    const [replica] = await this.deployment.readReplicas();
    const leader = replica?.members[0]?.instance;
    const runs = await Promise.all(
      [...this.deployment.engines.values()].map(async (engine) => {
        return { name: engine.name, attempts: (await engine.journal()).attempts.length };
      }),
    );
    const expected = runs.map(({ name }) => ({ name, attempts: name === leader ? 1 : 0 }));
    assert.deepEqual(runs, expected);
  },
);

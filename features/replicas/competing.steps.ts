import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { modelSchema, type Model } from '../../src/objects/index.js';
import { splitDemand, type DomainSupply } from '../../src/controllers/replicas/index.js';

interface CompetingWorld {
  models: Map<string, Model>;
  supply: DomainSupply;
}

const REPLICA_SIZE = 3;

Given(
  'a domain of {int} instances that serves {int} replicas of {string} in threes',
  function (this: CompetingWorld, count: number, replicas: number, model: string) {
    this.models = new Map([[model, modelSchema.parse({ replicaSize: REPLICA_SIZE, replicas })]]);
    const serving = Array.from({ length: replicas }, () => ({ model, phase: 'whole' as const }));
    this.supply = { name: 'fabric-1', groups: [{ labels: {}, count }], replicas: serving };
  },
);

When(
  '{string} with importance {int} wants {int} replica(s) in threes as well',
  function (this: CompetingWorld, name: string, importance: number, replicas: number) {
    const model = { replicaSize: REPLICA_SIZE, replicas, importance };
    this.models.set(name, modelSchema.parse(model));
  },
);

Then(
  'the domain is to have {int} replica(s) of {string} and {int} of {string}',
  function (this: CompetingWorld, first: number, one: string, second: number, other: string) {
    const [share] = splitDemand(this.models, [this.supply]);
    assert.deepEqual([share?.wanted.get(one) ?? 0, share?.wanted.get(other) ?? 0], [first, second]);
  },
);

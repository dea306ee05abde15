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
  'a domain of {int} instances that serves {int} replicas of {string} with three members each',
  function (this: CompetingWorld, count: number, replicas: number, model: string) {
    this.models = new Map([[model, modelSchema.parse({ replicaSize: REPLICA_SIZE, replicas })]]);
    const serving = Array.from({ length: replicas }, () => ({ model, phase: 'whole' as const }));
    this.supply = { name: 'fabric-1', groups: [{ labels: {}, count }], replicas: serving };
  },
);

When(
  '{string} with importance {int} requests {int} replica(s) with three members each',
  function (this: CompetingWorld, name: string, importance: number, replicas: number) {
    const model = { replicaSize: REPLICA_SIZE, replicas, importance };
    this.models.set(name, modelSchema.parse(model));
  },
);

Then(
  'the domain is assigned {int} replica(s) of {string} and {int} of {string}',
  function (
    this: CompetingWorld,
    firstCount: number,
    firstModel: string,
    secondCount: number,
    secondModel: string,
  ) {
    const [share] = splitDemand(this.models, [this.supply]);
    assert.deepEqual(
      [share?.wanted.get(firstModel) ?? 0, share?.wanted.get(secondModel) ?? 0],
      [firstCount, secondCount],
    );
  },
);

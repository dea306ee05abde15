import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { Then, When } from '@cucumber/cucumber';
import { parsePlan } from '../../src/cli/load/load.js';
import type { LoadPlan, LoadStream } from '../../src/cli/load/plan.js';
import { loadObjectFile, type ObjectEntry } from '../../src/cli/object-file.js';
import { matchesSelector } from '../../src/core/labels/index.js';
import {
  modelSchema,
  policySchema,
  serviceSchema,
  workspaceSchema,
  type Policy,
  type Workspace,
} from '../../src/objects/index.js';

interface ExamplesWorld {
  objects: ObjectEntry[];
  plan: LoadPlan;
  output: string;
}

type Weight = keyof Policy['objective'];

function ofKind(world: ExamplesWorld, kind: ObjectEntry['kind']): ObjectEntry[] {
  return world.objects.filter((object) => object.kind === kind);
}

function findByKey(world: ExamplesWorld, key: string): Workspace | undefined {
  const hash = createHash('sha256').update(key).digest('hex');
  const workspaces = ofKind(world, 'workspace').map(({ value }) => workspaceSchema.parse(value));
  return workspaces.find(({ keyHashes }) => keyHashes.includes(hash));
}

function labelsOfTarget(world: ExamplesWorld, stream: LoadStream): Record<string, string> {
  const [kind, target] =
    'model' in stream ? (['model', stream.model] as const) : (['service', stream.service] as const);
  const object = ofKind(world, kind).find(({ name }) => name === target);
  assert.ok(object, `${target} is not in the example`);
  const schema = kind === 'model' ? modelSchema : serviceSchema;
  return schema.parse(object.value).labels;
}

When(
  'the example objects of {word} are read',
  async function (this: ExamplesWorld, organisation: string) {
    const folder = `examples/${organisation}`;
    this.objects = (await loadObjectFile(`${folder}/objects.toml`))._unsafeUnwrap();
    const text = await readFile(`${folder}/load.toml`, 'utf8');
    this.plan = parsePlan(`${folder}/load.toml`, text, {})._unsafeUnwrap();
  },
);

Then(
  'the example policy weighs {word} more than {word}',
  function (this: ExamplesWorld, heavier: Weight, lighter: Weight) {
    const policy = policySchema.parse(ofKind(this, 'policy')[0]?.value);
    assert.ok(policy.objective[heavier] > policy.objective[lighter]);
  },
);

Then('the example names {int} workspaces', function (this: ExamplesWorld, count: number) {
  assert.equal(ofKind(this, 'workspace').length, count);
});

Then('the example has a service call that runs at most once', function (this: ExamplesWorld) {
  const services = ofKind(this, 'service').map(({ value }) => serviceSchema.parse(value));
  assert.ok(services.some(({ rules }) => rules.some(({ handling }) => handling === 'once')));
});

Then(
  'the example load uses keys of its workspaces and targets that they may use',
  function (this: ExamplesWorld) {
    for (const stream of this.plan.stream) {
      const workspace = findByKey(this, stream.key);
      assert.ok(workspace, `no workspace has the key of ${stream.name}`);
      assert.ok(workspace.classes.includes(stream.class), `${stream.name}: class`);
      const labels = labelsOfTarget(this, stream);
      assert.ok(matchesSelector(workspace.selector, labels), `${stream.name}: selector`);
    }
  },
);

When('the embedding example is run', { timeout: 30_000 }, function (this: ExamplesWorld) {
  const run = spawnSync(process.execPath, ['--import', 'tsx', 'examples/embed/plan.ts'], {
    encoding: 'utf8',
    env: { ...process.env, NODE_OPTIONS: '' },
  });
  assert.equal(run.status, 0, run.stderr);
  this.output = run.stdout;
});

Then(
  "the embedding example forms two replicas, replaces a lost member's replica and resumes an answer",
  function (this: ExamplesWorld) {
    const formed = this.output.match(/"kind":"formed"/g) ?? [];
    assert.ok(formed.length >= 2, this.output);
    assert.match(this.output, /"kind":"memberReplaced","member":"e1"/);
    assert.match(this.output, /"kind":"resume".*"from":12/);
  },
);

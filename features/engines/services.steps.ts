import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { request } from 'undici';
import { createServiceStandIn, type ServiceStandIn } from '../../src/stand-ins/service/index.js';

interface ServiceWorld {
  serviceStandIn: ServiceStandIn;
  seen: string;
  hashes: string[];
}

const PATIENCE_MS = 2_000;

After(async function (this: Partial<ServiceWorld>) {
  await this.serviceStandIn?.stop();
});

Given(
  'a service stand-in whose next call has the fault {word}',
  async function (this: ServiceWorld, fault: string) {
    this.serviceStandIn = (await createServiceStandIn({ instance: 'gate-1' }))._unsafeUnwrap();
    if (fault === 'none') return;
    const headers = { 'content-type': 'application/json' };
    const body = JSON.stringify({ faults: [{ kind: fault }] });
    const set = await request(`http://${this.serviceStandIn.address}/control`, {
      method: 'POST',
      headers,
      body,
    });
    assert.equal(set.statusCode, 204);
  },
);

When('a check-in is posted to the service stand-in', async function (this: ServiceWorld) {
  this.seen = await postCheckIn(this.serviceStandIn.address);
});

When(
  '{int} bytes are downloaded from the service stand-in and uploaded again',
  async function (this: ServiceWorld, bytes: number) {
    const origin = `http://${this.serviceStandIn.address}`;
    const download = await request(`${origin}/download?bytes=${bytes}`);
    const body = Buffer.from(await download.body.arrayBuffer());
    const upload = await request(`${origin}/upload`, { method: 'POST', body });
    const { sha256 } = (await upload.body.json()) as { sha256: string };
    this.hashes = [createHash('sha256').update(body).digest('hex'), sha256];
    assert.equal(body.length, bytes);
  },
);

Then(
  'the check-in has {word} answer and ran {int} time(s)',
  function (this: ServiceWorld, seen: string, runs: number) {
    assert.equal(this.seen, seen);
    const journal = this.serviceStandIn.journal();
    assert.equal(journal.runCount, runs);
    assert.ok(journal.runs.every((run) => run.idempotencyKey === 'key-1'));
  },
);

Then('the uploaded bytes have the hash of the downloaded ones', function (this: ServiceWorld) {
  assert.equal(this.hashes[0], this.hashes[1]);
});

async function postCheckIn(address: string): Promise<string> {
  try {
    const answer = await request(`http://${address}/check-ins`, {
      method: 'POST',
      headers: { 'idempotency-key': 'key-1' },
      body: 'rigger 7',
      signal: AbortSignal.timeout(PATIENCE_MS),
    });
    await answer.body.json();
    return answer.statusCode === 200 ? 'an' : 'no';
  } catch {
    return 'no';
  }
}

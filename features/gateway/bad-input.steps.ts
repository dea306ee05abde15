/**
 * Counts and targets that can't be right.
 */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { platform } from '../../platform/index.js';
import { plainStallTimeout } from '../../src/controllers/forwarding/index.js';
import type { CallerRequest } from '../../src/ports/index.js';

interface InputWorld {
  caller: CallerRequest;
}

When('a request names {string} tokens', function (this: InputWorld, counts: string) {
  this.caller = platform.requests.decodeRequest(['Token-Count', counts]);
});

Then(
  'its prompt counts as {int} tokens and its answer as {int}',
  function (this: InputWorld, prompt: number, output: number) {
    assert.deepEqual([this.caller.promptTokens, this.caller.maxOutputTokens], [prompt, output]);
  },
);

Then(
  'a plain response for a target of {int} ms may take {int} ms',
  function (targetMs: number, timeoutMs: number) {
    assert.equal(plainStallTimeout(targetMs), timeoutMs);
  },
);

When(
  'a request names the parts {string} of its prompt',
  function (this: InputWorld, header: string) {
    this.caller = platform.requests.decodeRequest(['Prompt-Prefix', header]);
  },
);

Then('it may share {string} with other requests', function (this: InputWorld, shared: string) {
  assert.equal(this.caller.sharedParts?.join() ?? '', shared);
});

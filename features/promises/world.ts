/**
 * One deployment for each scenario of the promises, ended with it.
 */
import { After, setDefaultTimeout } from '@cucumber/cucumber';
import { expectedAnswer } from '../../src/stand-ins/engine/index.js';
import type { Question, Reply } from './callers.js';
import { MODEL, type Deployment } from './deployment.js';

const LONGEST_STEP_MS = 60_000;
setDefaultTimeout(LONGEST_STEP_MS);

/** What the steps of one scenario share. */
export interface PromiseWorld {
  deployment: Deployment;
  question: Question;
  reply: Reply;
}

/** A question with an answer of its own for each seed. */
export function createQuestion(seed: number, maxTokens = 40): Question {
  return { model: MODEL, text: `question ${seed}`, seed, maxTokens };
}

/** What the caller of `question` should receive. */
export function answerOf({ text, seed, maxTokens }: Question): string {
  return expectedAnswer({ messages: [{ role: 'user', content: text }], seed, maxTokens }).text;
}

After(async function (this: Partial<PromiseWorld>) {
  await this.deployment?.stop();
});

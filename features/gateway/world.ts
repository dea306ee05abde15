/**
 * What the steps of a gateway scenario share.
 */
import { After, setDefaultTimeout } from '@cucumber/cucumber';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { Site, type Answer, type GatewayProcess } from './site.js';

const STEP_TIMEOUT_MS = 40_000;
setDefaultTimeout(STEP_TIMEOUT_MS);

/** A stream that a caller reads. */
export interface RunningStream {
  id: string;
  outgoing: ClientRequest;
  answer: Promise<Answer>;
  incoming: IncomingMessage;
}

/** The state of one scenario. */
export interface GatewayWorld {
  site: Site;
  gateway: GatewayProcess;
  answers: Answer[];
  /** The id of the last request. */
  lastId: string;
  stream: RunningStream;
  pending: Promise<Answer>;
  /** Groups that were open before the event of the scenario. */
  groupsBefore: string[];
}

After(async function (this: Partial<GatewayWorld>) {
  await this.site?.close();
});

/** The only answer of the last question. */
export function lastAnswer(world: GatewayWorld): Answer {
  const answer = world.answers.at(-1);
  if (!answer) throw new Error('nobody has asked yet');
  return answer;
}

/**
 * State shared by the steps of a gateway scenario.
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
  /** When the store acknowledged the change of the scenario. */
  acknowledgedAt: number;
  /** Adds a line to the report of the run. */
  log(text: string): void;
  /** Groups that were open before the event of the scenario. */
  groupsBefore: string[];
}

After(async function (this: Partial<GatewayWorld>) {
  await this.site?.close();
});

/** Opens a site with plain servers that each answer after `gapMs`. */
export async function openSite(
  world: GatewayWorld,
  plainServers: number,
  gapMs = 5,
): Promise<void> {
  world.site = new Site();
  world.answers = [];
  await world.site.open();
  for (let index = 0; index < plainServers; index += 1) {
    await world.site.addServer({ id: `plain-${index}`, service: 'app', gapMs });
  }
}

/** The last answer received. */
export function lastAnswer(world: GatewayWorld): Answer {
  const answer = world.answers.at(-1);
  if (!answer) throw new Error('no request has been answered yet');
  return answer;
}

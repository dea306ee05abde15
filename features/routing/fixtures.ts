/**
 * Factories for requests, candidates and views in the routing scenarios.
 */
import type {
  Candidate,
  DispatchView,
  Prefix,
  WaitingRequest,
} from '../../src/controllers/routing/index.js';

export const ENTRY_LOCATION = { region: 'west', failureDomain: 'west-1' };
const PREFILL_MS_PER_TOKEN = 0.25;

export function makeCandidate(
  replica: string,
  now: number,
  load: { running?: number; pendingPromptTokens?: number; batchSize?: number } = {},
): Candidate {
  const { running = 0, pendingPromptTokens = 0, batchSize = 8 } = load;
  return {
    replica,
    model: 'chat',
    fence: 1,
    leader: `${replica}-0`,
    address: '127.0.0.1:1',
    members: [`${replica}-0`],
    location: ENTRY_LOCATION,
    load: {
      measuredAt: now,
      load: {
        running,
        waiting: 0,
        pendingPromptTokens,
        pendingOutputTokens: running * 40,
        batchSize,
        prefillMsPerToken: PREFILL_MS_PER_TOKEN,
        decodeMsPerToken: 25,
        cacheUse: 0,
        ageMs: 0,
      },
    },
  };
}

export function makeView(candidates: readonly Candidate[]): DispatchView {
  return {
    entryLocation: ENTRY_LOCATION,
    candidatesOf: () => candidates,
    peersSent: [],
    entryCount: 1,
  };
}

export function makeRequest(
  ticket: string,
  now: number,
  rest: Partial<WaitingRequest> = {},
): WaitingRequest {
  return {
    ticket,
    workspace: 'gates',
    class: 'interactive',
    model: 'chat',
    promptTokens: 100,
    maxTokens: 40,
    prefixes: [],
    arrivedAt: now,
    deadlineAt: now + 60_000,
    excluded: [],
    ...rest,
  };
}

/** Prefixes of a prompt with `blocks` blocks; equal names give equal prefixes. */
export function makePrefixes(name: string, blocks: number): Prefix[] {
  return Array.from({ length: blocks }, (_, index) => ({
    hash: `${name}-${index}`,
    tokens: (index + 1) * 64,
  }));
}

/**
 * Operations of the operator interface: changing objects and reading the status of an entry.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import type { Operations, Refusal } from '../../adapters/operators/index.js';
import { evaluateAcceptance, type Acceptance } from '../../controllers/configuration/index.js';
import {
  describeModels,
  describeServices,
  readServingView,
} from '../../controllers/status/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { StoredObject } from '../../objects/index.js';
import type { ConfigurationPart } from '../configuration/index.js';
import type { MembershipPart } from '../membership/index.js';
import type { EntryContext } from '../types.js';
import { createObjectWriter } from './object-writer.js';
import { listDrains } from './drains.js';

/** The parts of an entry that operations use. */
export interface OperationDependencies {
  configuration: ConfigurationPart;
  membership: MembershipPart;
  readiness: Operations['readiness'];
  metrics: Operations['metrics'];
}

const ACCEPTANCE_POLL_MS = 50;

/** Creates the operations of one entry. */
export function createOperations(
  context: EntryContext,
  dependencies: OperationDependencies,
): Operations {
  const { board, clock, identity, platform, settings } = context;
  const { configuration, membership } = dependencies;
  const writer = createObjectWriter(context, dependencies);

  const checkAcceptance = (revision: number): Acceptance =>
    evaluateAcceptance({
      revision,
      self: {
        name: identity.name,
        failureDomain: identity.failureDomain,
        revision: configuration.revision(),
      },
      fleet: board.fleet.read(),
      peers: board.peers.read(),
      summaries: membership.summaries(),
      departed: membership.departed(),
    });

  const status: Operations['status'] = () => {
    const now = clock.now();
    const { revision, rejected, confirmedAt } = board.configuration.read();
    const view = readServingView(board, settings.health.freshMs);
    const failure = dependencies.readiness();
    const acceptance = checkAcceptance(revision);
    return {
      entry: {
        name: identity.name,
        incarnation: identity.incarnation,
        failureDomain: identity.failureDomain,
        ready: failure === undefined,
        ...(failure === undefined ? {} : { reason: failure.message }),
      },
      configuration: {
        revision,
        ...(Number.isFinite(confirmedAt) ? { confirmedAgeMs: Math.round(now - confirmedAt) } : {}),
        acceptance: acceptance.kind,
        lagging: acceptance.kind === 'pending' ? acceptance.lagging : [],
        rejected: [...rejected],
      },
      peers: listPeerStatus(now),
      models: describeModels(view, now),
      services: describeServices(view, now),
    };
  };
  const listPeerStatus = (now: Milliseconds) =>
    [...board.peers.read().values()].map((peer) => ({
      name: peer.name,
      failureDomain: peer.failureDomain,
      revision: peer.configurationRevision,
      ready: peer.ready,
      stopping: peer.stopping,
      ageMs: Math.round(now - peer.heardAt),
    }));

  return {
    list: (kind) => platform.list(kind).mapErr(toRefusal),
    read: (kind, name) =>
      platform
        .read(kind, name)
        .mapErr(toRefusal)
        .andThen((object) => requireExisting(name, object)),
    apply: writer.apply,
    label: writer.label,
    drain: writer.drain,
    acceptance: async (revision, waitMs, signal) => {
      const deadlineAt = clock.now() + waitMs;
      let acceptance = checkAcceptance(revision);
      while (acceptance.kind === 'pending' && clock.now() < deadlineAt && !signal.aborted) {
        await sleep(ACCEPTANCE_POLL_MS);
        acceptance = checkAcceptance(revision);
      }
      return acceptance;
    },
    drains: () => listDrains(context, membership),
    status,
    readiness: dependencies.readiness,
    metrics: dependencies.metrics,
  };
}

function toRefusal(failure: Failure): Refusal {
  return { failure };
}

function requireExisting(
  name: string,
  object: StoredObject | undefined,
): ResultAsync<StoredObject, Refusal> {
  if (object !== undefined && !object.deleted) return okAsync(object);
  return errAsync({ failure: createFailure('objectUnknown', { name }) });
}

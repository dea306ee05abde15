/**
 * Identifies callers and authorizes their requests: workspace, class, deadline, models and services.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Configuration } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { matchesSelector } from '../../core/labels/index.js';
import {
  requestClassSchema,
  type Model,
  type RequestClass,
  type Service,
  type Workspace,
} from '../../objects/index.js';

/** Caller information from the request headers. */
export interface Credentials {
  /** SHA-256 of the bearer key, in hexadecimal. */
  keyHash?: string;
  /** Set only by a trusted load balancer; takes precedence over the key. */
  workspace?: string;
  class?: string;
  /** Relative deadline in milliseconds, as sent by the caller. */
  deadline?: string;
}

/** An identified caller with the class and deadline of its request. */
export interface Caller {
  workspace: string;
  class: RequestClass;
  deadlineAt: Milliseconds;
}

const DEFAULT_CLASS = 'interactive';
const POSITIVE_DECIMAL = /^\d{1,10}(\.\d{1,3})?$/;

/**
 * Resolves the caller of a request that arrived at `now`, or the failure with which it is rejected.
 *
 * @example resolveCaller(board.configuration.read(), { keyHash }, clock.now())
 */
export function resolveCaller(
  configuration: Configuration,
  credentials: Credentials,
  now: Milliseconds,
): Result<Caller, Failure> {
  const workspace = findWorkspace(configuration, credentials);
  if (workspace === undefined) return err(createFailure('workspaceUnknown'));
  return resolveClass(configuration, workspace, credentials.class).andThen((requestClass) =>
    resolveDeadline(configuration, requestClass, credentials.deadline).map((deadlineMs) => ({
      workspace,
      class: requestClass,
      deadlineAt: now + deadlineMs,
    })),
  );
}

/** Returns the named model, or a failure if it is unknown or the workspace may not use it. */
export function resolveModel(
  configuration: Configuration,
  workspace: string,
  name: string,
): Result<Model, Failure> {
  const model = configuration.models.get(name)?.value;
  if (!model) return err(createFailure('modelUnknown', { name }));
  if (isAllowed(configuration, workspace, model)) return ok(model);
  return err(createFailure('notAllowed', { name: workspace, what: `model "${name}"` }));
}

/** Returns the named service, or a failure if it is unknown or the workspace may not use it. */
export function resolveService(
  configuration: Configuration,
  workspace: string,
  name: string,
): Result<Service, Failure> {
  const service = configuration.services.get(name)?.value;
  if (!service) return err(createFailure('serviceUnknown', { name }));
  if (isAllowed(configuration, workspace, service)) return ok(service);
  return err(createFailure('notAllowed', { name: workspace, what: `service "${name}"` }));
}

/** Returns the names of the models that the workspace may use, sorted alphabetically. */
export function listModels(configuration: Configuration, workspace: string): readonly string[] {
  return [...configuration.models]
    .filter(([, model]) => isAllowed(configuration, workspace, model.value))
    .map(([name]) => name)
    .sort();
}

function isAllowed(
  configuration: Configuration,
  workspace: string,
  target: Model | Service,
): boolean {
  const selector = configuration.workspaces.get(workspace)?.value.selector;
  return selector !== undefined && matchesSelector(selector, target.labels);
}

function findWorkspace(
  { workspaces }: Configuration,
  { workspace, keyHash }: Credentials,
): string | undefined {
  if (workspace !== undefined) return workspaces.has(workspace) ? workspace : undefined;
  if (keyHash === undefined) return undefined;
  for (const [name, { value }] of workspaces) {
    if (holdsKey(value, keyHash)) return name;
  }
  return undefined;
}

function holdsKey(workspace: Workspace, keyHash: string): boolean {
  return workspace.keyHashes.includes(keyHash);
}

function resolveClass(
  { workspaces }: Configuration,
  workspace: string,
  requested = DEFAULT_CLASS,
): Result<RequestClass, Failure> {
  const parsed = requestClassSchema.safeParse(requested);
  if (!parsed.success) {
    const supported = requestClassSchema.options.join(', ');
    return err(createFailure('invalidRequest', { reason: `the class is none of ${supported}` }));
  }
  if (workspaces.get(workspace)?.value.classes.includes(parsed.data)) return ok(parsed.data);
  return err(createFailure('notAllowed', { name: workspace, what: `class "${parsed.data}"` }));
}

function resolveDeadline(
  { policy }: Configuration,
  requestClass: RequestClass,
  requested: string | undefined,
): Result<Milliseconds, Failure> {
  const maxDeadlineMs = policy.classes[requestClass].deadlineMs;
  if (requested === undefined) return ok(maxDeadlineMs);
  const deadlineMs = POSITIVE_DECIMAL.test(requested) ? Number(requested) : 0;
  if (deadlineMs > 0) return ok(Math.min(deadlineMs, maxDeadlineMs));
  const reason = 'the deadline is not a positive number of milliseconds';
  return err(createFailure('invalidRequest', { reason }));
}

/**
 * Who a caller is and what it may ask for: workspace, class, deadline, models and services.
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

/** What a request's headers say of its caller. */
export interface Credentials {
  /** SHA-256 of the bearer key, in hexadecimal. */
  keyHash?: string;
  /** Only from a balancer that is trusted to set it; it goes before the key. */
  workspace?: string;
  class?: string;
  /** Relative, in milliseconds, as the caller wrote it. */
  deadline?: string;
}

/** A caller whose request may be looked at. */
export interface Caller {
  workspace: string;
  class: RequestClass;
  deadlineAt: Milliseconds;
}

const DEFAULT_CLASS = 'interactive';
const POSITIVE_DECIMAL = /^\d{1,10}(\.\d{1,3})?$/;

/**
 * The caller behind `credentials` for a request that arrived at `now`, or why it is refused.
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
    resolveDeadline(configuration, requestClass, credentials.deadline).map((span) => ({
      workspace,
      class: requestClass,
      deadlineAt: now + span,
    })),
  );
}

/** The model, when there is one of that name that the workspace may use. */
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

/** The service, when there is one of that name that the workspace may use. */
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

/** Names of the models that the workspace may use, in alphabetical order. */
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
  wanted = DEFAULT_CLASS,
): Result<RequestClass, Failure> {
  const parsed = requestClassSchema.safeParse(wanted);
  if (!parsed.success) {
    const known = requestClassSchema.options.join(', ');
    return err(createFailure('invalidRequest', { reason: `the class is none of ${known}` }));
  }
  if (workspaces.get(workspace)?.value.classes.includes(parsed.data)) return ok(parsed.data);
  return err(createFailure('notAllowed', { name: workspace, what: `class "${parsed.data}"` }));
}

function resolveDeadline(
  { policy }: Configuration,
  requestClass: RequestClass,
  wanted: string | undefined,
): Result<Milliseconds, Failure> {
  const longest = policy.classes[requestClass].deadlineMs;
  if (wanted === undefined) return ok(longest);
  const span = POSITIVE_DECIMAL.test(wanted) ? Number(wanted) : 0;
  if (span > 0) return ok(Math.min(span, longest));
  const reason = 'the deadline is not a positive number of milliseconds';
  return err(createFailure('invalidRequest', { reason }));
}

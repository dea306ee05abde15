/**
 * Resolves how a call to a plain service is handled: retried, run at most once per idempotency key,
 * or sent a single time.
 */
import { err, ok, type Result } from 'neverthrow';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { CallRule } from '../../objects/index.js';

/** The handling that a service's rules assign to a call. */
export type CallHandling = CallRule['handling'];

const REPEATABLE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Resolves the handling of a call with `method` to `path` (without query): the first matching rule
 * applies, otherwise only safe methods are repeatable.
 *
 * Rules are matched against the decoded path with repeated slashes collapsed. Otherwise `/check%2Din`
 * or `//check-in`, which a backend server may treat as `/check-in`, would bypass its rule. Paths
 * that can't be decoded or contain dot segments are rejected.
 *
 * @example resolveCallHandling([], 'POST', '/check-ins') // ok('single')
 */
export function resolveCallHandling(
  rules: readonly CallRule[],
  method: string,
  path: string,
): Result<CallHandling, Failure<'invalidRequest'>> {
  return normalizePath(path).map((normalized) => {
    const rule = rules.find((candidate) => matchesRule(candidate, method, normalized));
    if (rule) return rule.handling;
    return REPEATABLE_METHODS.has(method) ? 'repeatable' : 'single';
  });
}

function matchesRule(rule: CallRule, method: string, path: string): boolean {
  if (rule.method !== '*' && rule.method !== method) return false;
  const prefix = rule.pathPrefix.replace(/\/+$/, '');
  return path === prefix || path.startsWith(`${prefix}/`);
}

function normalizePath(path: string): Result<string, Failure<'invalidRequest'>> {
  try {
    const decoded = decodeURIComponent(path).replace(/\/{2,}/g, '/');
    if (!/(^|\/)\.{1,2}(\/|$)/.test(decoded)) return ok(decoded);
  } catch {
    // Malformed percent encoding is rejected like a path with dot segments.
  }
  return err(createFailure('invalidRequest', { reason: 'the path is malformed' }));
}

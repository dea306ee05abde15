/**
 * How a call to a plain service may be treated: sent again, run at most once under a key, or sent
 * a single time.
 */
import { err, ok, type Result } from 'neverthrow';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { CallRule } from '../../objects/index.js';

/** What the first matching rule says of a call. */
export type CallHandling = CallRule['handling'];

const REPEATABLE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * How a call of `method` to `path` (without query) is handled under a service's rules.
 *
 * Rules are matched against the decoded path with repeated slashes collapsed. A backend server
 * that reads `/check%2Din` or `//check-in` as `/check-in` would otherwise run under a laxer rule
 * what the operator declared to run once. A path that can't be decoded is refused.
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
    // Malformed percent encoding; the same answer as for a path that leaves its prefix.
  }
  return err(createFailure('invalidRequest', { reason: 'the path is malformed' }));
}

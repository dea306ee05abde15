/**
 * The difference between two versions of the configuration, which is small where the whole is too large
 * to send to many gateways at once.
 */
import { createHash } from 'node:crypto';
import * as z from 'zod';
import type { ServingConfiguration } from '../../ports/index.js';

/** Builds a list from an earlier one. */
const listStepSchema = z.union([
  z.object({ copyFrom: z.number().int().nonnegative(), count: z.number().int().positive() }),
  z.object({ insert: z.array(z.record(z.string(), z.unknown())) }),
]);
const listPatchSchema = z.array(listStepSchema).max(10_000);

export const configurationDeltaSchema = z.object({
  /** The version that it applies to. */
  since: z.number().nonnegative(),
  version: z.number().nonnegative(),
  /** Hash of the result, which differs if the receiver's base has other content under its version. */
  resultHash: z.string().max(64),
  routes: listPatchSchema,
  services: listPatchSchema,
  workspaces: listPatchSchema.optional(),
  limits: z.record(z.string(), z.unknown()),
});

export type ConfigurationDelta = z.infer<typeof configurationDeltaSchema>;
type ListPatch = z.infer<typeof listPatchSchema>;

/** Undefined if the difference has more than `maxLength` characters as JSON. */
export function diffConfigurations(
  before: ServingConfiguration,
  after: ServingConfiguration,
  maxLength: number,
): ConfigurationDelta | undefined {
  const delta = {
    since: before.version,
    version: after.version,
    resultHash: hashConfiguration(after),
    routes: diffLists(before.routes, after.routes),
    services: diffLists(before.services, after.services),
    ...(after.workspaces && {
      workspaces: diffLists(before.workspaces ?? [], after.workspaces),
    }),
    limits: { ...after.limits },
  };
  return JSON.stringify(delta).length <= maxLength ? delta : undefined;
}

/** Undefined if the delta does not apply to `before`. */
export function applyConfigurationDelta(
  before: ServingConfiguration,
  delta: ConfigurationDelta,
): ServingConfiguration | undefined {
  if (before.version !== delta.since) return undefined;
  // Its items come from a configuration that the sender has decoded.
  const after = {
    version: delta.version,
    routes: patchList(before.routes, delta.routes),
    services: patchList(before.services, delta.services),
    ...(delta.workspaces && { workspaces: patchList(before.workspaces ?? [], delta.workspaces) }),
    limits: delta.limits,
  } as unknown as ServingConfiguration;
  return hashConfiguration(after) === delta.resultHash ? after : undefined;
}

/** Field by field, so that the order in which a configuration was built does not matter. */
function hashConfiguration(configuration: ServingConfiguration): string {
  const { version, routes, services, workspaces, limits } = configuration;
  const text = JSON.stringify([version, routes, services, workspaces, limits]);
  return createHash('sha1').update(text).digest('base64');
}

function diffLists(before: readonly object[], after: readonly object[]): ListPatch {
  const positions = new Map(before.map((item, index) => [JSON.stringify(item), index]));
  const patch: ListPatch = [];
  for (const item of after) {
    const position = positions.get(JSON.stringify(item));
    const last = patch.at(-1);
    if (position === undefined) {
      const inserted = item as Record<string, unknown>;
      if (last && 'insert' in last) last.insert.push(inserted);
      else patch.push({ insert: [inserted] });
    } else if (last && 'copyFrom' in last && last.copyFrom + last.count === position) {
      last.count += 1;
    } else {
      patch.push({ copyFrom: position, count: 1 });
    }
  }
  return patch;
}

function patchList(before: readonly object[], patch: ListPatch): object[] {
  return patch.flatMap((step) =>
    'insert' in step ? step.insert : before.slice(step.copyFrom, step.copyFrom + step.count),
  );
}

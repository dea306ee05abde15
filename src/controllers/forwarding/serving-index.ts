/**
 * Lookup tables over one version of the configuration, for the request path.
 */
import type { ServingConfiguration, ServingService } from '../../ports/index.js';
import { createRouteTable, type RouteTable } from './routes.js';

/** The workspace that owns an API key, and its priority. */
export interface KeyHolder {
  workspace: string;
  priority?: number;
}

/** A configuration with its lookup tables. */
export interface ServingIndex {
  configuration: ServingConfiguration;
  routes: RouteTable;
  services: ReadonlyMap<string, ServingService>;
  /** Key holders by key; absent when callers need no key. */
  keyHolders?: ReadonlyMap<string, KeyHolder>;
}

/** Builds the lookup tables for `configuration`; called once per version. */
export function indexConfiguration(configuration: ServingConfiguration): ServingIndex {
  const { workspaces } = configuration;
  return {
    configuration,
    routes: createRouteTable(configuration.routes),
    services: new Map(configuration.services.map((service) => [service.name, service])),
    ...(workspaces && {
      keyHolders: new Map(
        workspaces.flatMap(({ name, keys, priority }) =>
          keys.map((key): [string, KeyHolder] => [
            key,
            { workspace: name, ...(priority !== undefined && { priority }) },
          ]),
        ),
      ),
    }),
  };
}

/**
 * One version of the configuration, arranged for the questions of the request path.
 */
import type { ServingConfiguration, ServingService } from '../../ports/index.js';
import { createRouteTable, type RouteTable } from './routes.js';

/** The holder of a key. */
export interface KeyHolder {
  workspace: string;
  priority?: number;
}

/** A configuration with its lookups. */
export interface ServingIndex {
  configuration: ServingConfiguration;
  routes: RouteTable;
  services: ReadonlyMap<string, ServingService>;
  /** By key; absent when callers need none. */
  keyHolders?: ReadonlyMap<string, KeyHolder>;
}

/** The lookups for `configuration`; made once for each version. */
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

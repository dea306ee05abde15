/**
 * What the backend servers ran, by the ids of the callers' requests.
 */
import type { Deployment } from './deployment.js';

/** Ids of the requests that an engine or a service has run, from their journals. */
export async function listRuns({ engines, services }: Deployment): Promise<ReadonlySet<string>> {
  const ran = new Set<string>();
  for (const engine of engines.values()) {
    const { attempts } = await engine.journal();
    // An attempt is named after its request.
    for (const { attempt } of attempts) ran.add(attempt.replace(/\.\d+$/, ''));
  }
  for (const service of services.values()) {
    const { runs } = await service.journal();
    for (const { requestId } of runs) ran.add(requestId ?? '');
  }
  return ran;
}

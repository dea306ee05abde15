/**
 * What development mode starts with: objects and the instances that they select.
 */
import { createHash } from 'node:crypto';
import type { ObjectKind } from '../../objects/index.js';

/** One object to put into the platform's stand-in. */
export interface ExampleObject {
  kind: ObjectKind;
  name: string;
  value: unknown;
}

/** An engine to start. */
export interface ExampleEngine {
  name: string;
  fabricDomain: string;
  failureDomain: string;
}

export const EXAMPLE_KEY = 'example-gate-volunteers';
export const EXAMPLE_MODEL = 'pass-assistant';
export const EXAMPLE_SERVICE = 'pass-office';
export const EXAMPLE_FAILURE_DOMAINS = ['bandung', 'cimahi', 'garut'] as const;

const ENGINES_PER_DOMAIN = 4;
const FABRIC_DOMAINS = [
  { fabricDomain: 'fabric-a', failureDomain: 'bandung' },
  { fabricDomain: 'fabric-b', failureDomain: 'cimahi' },
] as const;

const ASSISTANTS = [{ key: 'pool', operator: 'in', values: ['assistants'] }];

/** Labels of every example engine; the models select by them. */
export const ENGINE_LABELS = { pool: 'assistants', fencing: 'checked' };
/** Labels of the example service's instance. */
export const SERVICE_LABELS = { app: EXAMPLE_SERVICE };

/** Eight engines in two fabric domains. */
export function listExampleEngines(): ExampleEngine[] {
  return FABRIC_DOMAINS.flatMap((domain) =>
    Array.from({ length: ENGINES_PER_DOMAIN }, (_, index) => ({
      ...domain,
      name: `${domain.fabricDomain}-engine-${index + 1}`,
    })),
  );
}

/** The configuration: one replica of three engines and one of one in each fabric domain. */
export function listExampleObjects(): ExampleObject[] {
  return [
    {
      kind: 'policy',
      name: 'default',
      value: {
        objective: { groupDowntime: 4, strandedAccelerators: 1 },
        fencingChecked: [{ key: 'fencing', operator: 'in', values: ['checked'] }],
      },
    },
    {
      kind: 'model',
      name: EXAMPLE_MODEL,
      value: { selector: ASSISTANTS, replicaSize: 3, replicas: 2, importance: 90 },
    },
    {
      kind: 'model',
      name: 'pass-assistant-small',
      value: { selector: ASSISTANTS, replicaSize: 1, replicas: 2, importance: 50 },
    },
    {
      kind: 'service',
      name: EXAMPLE_SERVICE,
      value: {
        selector: [{ key: 'app', operator: 'in', values: [EXAMPLE_SERVICE] }],
        rules: [
          { method: 'POST', pathPrefix: '/passes', handling: 'once' },
          { method: 'POST', pathPrefix: '/slots', handling: 'once' },
        ],
      },
    },
    {
      kind: 'workspace',
      name: 'gate-volunteers',
      value: { keyHashes: [createHash('sha256').update(EXAMPLE_KEY).digest('hex')] },
    },
  ];
}

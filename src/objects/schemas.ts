/**
 * Kinds of objects stored by the platform and their schemas.
 *
 * Operators write `model`, `service`, `workspace` and `policy`. The platform writes `instance`, with
 * a delay. Entries write `domain-plan`, `call-record` and `call-index`. The `version` of a stored
 * object is the platform's revision at its last change; revisions are shared by all kinds and
 * increase monotonically.
 */
import * as z from 'zod';
import { labelsSchema, selectorSchema } from '../core/labels/index.js';

/** Name of an object or instance. */
export const nameSchema = z
  .string()
  .max(120)
  .regex(/^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$/, 'lower-case letters, digits, ".", "_" and "-"');

const positiveInteger = z.number().int().positive();
const nonNegativeInteger = z.number().int().nonnegative();

/** A model and the instances that may serve it. */
export const modelSchema = z.strictObject({
  labels: labelsSchema.default({}),
  /** Selects the engine instances that may serve the model. */
  selector: selectorSchema.default([]),
  /** Version of the weights to load. */
  weights: z.string().min(1).max(200).default('1'),
  /** Number of instances in one replica; all belong to the same fabric domain. */
  replicaSize: positiveInteger.max(64).default(1),
  /** Desired number of replicas across all fabric domains. */
  replicas: nonNegativeInteger.max(10_000),
  /** Models with a higher value take precedence when instances are scarce. */
  importance: z.number().int().min(0).max(100).default(50),
  adapters: z.array(nameSchema).max(64).default([]),
});

/** Defines how matching calls to a plain service are handled. The first matching rule applies. */
export const callRuleSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS', '*']).default('*'),
  /** Matches this path and all paths below it. */
  pathPrefix: z.string().startsWith('/').default('/'),
  /**
   * `repeatable`: may be retried after an unknown outcome. `once`: executed at most once, requires
   * an Idempotency-Key. `single`: never retried by the system, requires no key.
   */
  handling: z.enum(['repeatable', 'once', 'single']),
});

/** A service whose backend servers are not model engines. */
export const serviceSchema = z.strictObject({
  labels: labelsSchema.default({}),
  selector: selectorSchema.default([]),
  /** Without a matching rule, GET, HEAD and OPTIONS are `repeatable`, all other methods `single`. */
  rules: z.array(callRuleSchema).max(64).default([]),
  timeoutMs: positiveInteger.max(600_000).default(10_000),
});

/** Request classes; the policy maps each to an engine priority and a default deadline. */
export const requestClassSchema = z.enum(['gate', 'interactive', 'batch']);

/** A workspace: its API keys, limits and permitted request classes, models and services. */
export const workspaceSchema = z.strictObject({
  labels: labelsSchema.default({}),
  /** SHA-256 of each API key, in hexadecimal. */
  keyHashes: z
    .array(z.string().regex(/^[0-9a-f]{64}$/))
    .max(32)
    .default([]),
  limits: z
    .strictObject({
      requestsPerSecond: z.number().positive().default(1_000),
      concurrentRequests: positiveInteger.default(1_000),
      tokensPerSecond: z.number().positive().default(300_000),
    })
    .prefault({}),
  /** Relative weight in an entry's queue. */
  weight: z.number().positive().max(1_000).default(1),
  classes: z.array(requestClassSchema).min(1).default(['gate', 'interactive', 'batch']),
  /** Selects the models and services that the workspace may use. */
  selector: selectorSchema.default([]),
});

const classPolicySchema = z.strictObject({
  /** Engines schedule requests with a higher priority first. */
  priority: z.number().int().min(0).max(9),
  /** Deadline of requests that don't specify one. */
  deadlineMs: positiveInteger.max(3_600_000),
});

/** System-wide policy; there is a single object, named `default`. */
export const policySchema = z.strictObject({
  /** Weights of the planner's objective: replica downtime and healthy but idle accelerators. */
  objective: z
    .strictObject({
      groupDowntime: z.number().nonnegative().default(1),
      strandedAccelerators: z.number().nonnegative().default(1),
    })
    .prefault({}),
  classes: z
    .strictObject({
      gate: classPolicySchema.prefault({ priority: 9, deadlineMs: 20_000 }),
      interactive: classPolicySchema.prefault({ priority: 5, deadlineMs: 60_000 }),
      batch: classPolicySchema.prefault({ priority: 1, deadlineMs: 600_000 }),
    })
    .prefault({}),
  /** Selects the engines that refuse orders with an outdated fencing token; others ignore it. */
  fencingChecked: selectorSchema.default([]),
  /** How long the outcomes of `once` calls are kept. */
  callRecordRetentionMs: positiveInteger.default(86_400_000),
});

/** `host:port`; the HTTP client throws for other texts. */
const addressSchema = z
  .string()
  .max(256)
  .regex(/^[^:\s]+:\d{1,5}$/)
  .refine((address) => URL.canParse(`http://${address}`), 'not a host and a port');

/** An instance in the platform's list, which is updated with a delay. */
export const instanceSchema = z.strictObject({
  role: z.enum(['entry', 'engine', 'service']),
  /** `host:port`, where `host` is an IP address. */
  address: addressSchema,
  state: z.enum(['live', 'leaving']).default('live'),
  region: nameSchema.default('default'),
  failureDomain: nameSchema,
  /** Address for connections from other entries; only present for entries. */
  peerAddress: addressSchema.optional(),
  /** Only present for engines. */
  fabricDomain: nameSchema.optional(),
  labels: labelsSchema.default({}),
});

/** Identifies one run of an instance; a restarted process has a new incarnation. */
export const incarnationSchema = z.string().min(1).max(80);

export const replicaPhaseSchema = z.enum(['planned', 'loading', 'whole', 'draining', 'released']);

/** A replica of a model: instances of one fabric domain that can only serve together. */
export const replicaSchema = z.strictObject({
  id: nameSchema,
  model: nameSchema,
  weights: z.string(),
  /** Fencing token sent with orders; increases with each plan change that affects the replica. */
  fence: nonNegativeInteger,
  phase: replicaPhaseSchema,
  /** In rank order; the first member is the leader and receives the requests. */
  members: z.array(z.strictObject({ instance: nameSchema, incarnation: incarnationSchema })),
});

/** The replicas of one fabric domain and the entry that may change them. */
export const domainPlanSchema = z.strictObject({
  /** Absent until an entry has taken ownership of the domain. */
  owner: z
    .strictObject({
      entry: nameSchema,
      incarnation: incarnationSchema,
      /** Increases by one with each change of ownership. */
      term: nonNegativeInteger,
      /** How long after its last observed change the owner's lease is respected by other entries. */
      leaseMs: positiveInteger,
      /** Increases with each lease renewal, so that a renewal changes the object. */
      renewal: nonNegativeInteger,
    })
    .optional(),
  /** The last fencing token issued in this domain. */
  fence: nonNegativeInteger,
  replicas: z.array(replicaSchema),
  /** Healthy instances that are intentionally kept unassigned. */
  spares: z.array(nameSchema),
});

/** Record of a `once` call, identified by workspace and Idempotency-Key. */
export const callRecordSchema = z.strictObject({
  workspace: nameSchema,
  service: nameSchema,
  /** Hash of method, path and body; a different request with the same key is refused. */
  fingerprint: z.string(),
  /** The entry, and its incarnation, that may send the call. */
  entry: nameSchema,
  incarnation: incarnationSchema,
  state: z.discriminatedUnion('kind', [
    z.strictObject({ kind: z.literal('claimed') }),
    z.strictObject({
      kind: z.literal('answered'),
      status: z.number().int(),
      headers: z.array(z.strictObject({ name: z.string(), value: z.string() })),
      /** Base64. */
      body: z.string(),
    }),
    /** Executed and answered, but the response was too large to store. */
    z.strictObject({ kind: z.literal('answerTooLarge'), status: z.number().int() }),
    /** Known not to have reached any backend server; the key may be claimed again. */
    z.strictObject({ kind: z.literal('notRun') }),
    z.strictObject({ kind: z.literal('unknown') }),
  ]),
});

/** Tombstone of a call record after the retention period; only marks the key as used. */
export const expiredCallRecordSchema = z.strictObject({
  state: z.strictObject({ kind: z.literal('expired') }),
});

/**
 * Index for finding expired call records without listing all. An `hour` object contains the series
 * of lists whose records are due for removal in that hour; a `list` object contains records written
 * by one entry.
 */
export const callIndexSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('hour'), series: z.array(nameSchema).max(8_000) }),
  z.strictObject({
    kind: z.literal('list'),
    records: z
      .array(z.strictObject({ name: nameSchema, version: nonNegativeInteger, timed: z.boolean() }))
      .max(8_000),
  }),
]);

/** Schemas of the objects' values by kind. */
export const OBJECT_SCHEMAS = {
  model: modelSchema,
  service: serviceSchema,
  workspace: workspaceSchema,
  policy: policySchema,
  instance: instanceSchema,
  'domain-plan': domainPlanSchema,
  'call-record': z.union([callRecordSchema, expiredCallRecordSchema]),
  'call-index': callIndexSchema,
} as const;

export const OBJECT_KINDS = [
  'model',
  'service',
  'workspace',
  'policy',
  'instance',
  'domain-plan',
  'call-record',
  'call-index',
] as const;
export const objectKindSchema = z.enum(OBJECT_KINDS);

/** Kinds written by operators, which make up the configuration. */
export const CONFIGURATION_KINDS = ['model', 'service', 'workspace', 'policy'] as const;
export const configurationKindSchema = z.enum(CONFIGURATION_KINDS);

/** Far above that of any kind. */
const MAX_VALUE_DEPTH = 64;

/** Whether `value` has at most `levels` arrays and objects in each other. */
function isWithinDepth(value: unknown, levels: number): boolean {
  if (typeof value !== 'object' || value === null) return true;
  if (levels === 0) return false;
  return Object.values(value).every((inner) => isWithinDepth(inner, levels - 1));
}

/** An object as stored by the platform. Deleted objects remain as tombstones without a value. */
export const storedObjectSchema = z.object({
  kind: objectKindSchema,
  name: nameSchema,
  /** The platform's revision at the last change. */
  version: nonNegativeInteger,
  /** Chosen by the writer of the last change to identify its own write after a lost response. */
  nonce: z.string(),
  deleted: z.boolean(),
  /**
   * Not validated here; readers apply the schema of the kind. Null in a tombstone. A value that is nested
   * too deeply is read as null, which no schema accepts, because it could not be sent to other entries.
   */
  value: z.unknown().transform((value) => (isWithinDepth(value, MAX_VALUE_DEPTH) ? value : null)),
});

export type Model = z.infer<typeof modelSchema>;
export type CallRule = z.infer<typeof callRuleSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type RequestClass = z.infer<typeof requestClassSchema>;
export type Workspace = z.infer<typeof workspaceSchema>;
export type Policy = z.infer<typeof policySchema>;
export type Instance = z.infer<typeof instanceSchema>;
export type ReplicaPhase = z.infer<typeof replicaPhaseSchema>;
export type Replica = z.infer<typeof replicaSchema>;
export type DomainPlan = z.infer<typeof domainPlanSchema>;
export type CallRecord = z.infer<typeof callRecordSchema>;
export type CallIndex = z.infer<typeof callIndexSchema>;
export type ObjectKind = z.infer<typeof objectKindSchema>;
export type ConfigurationKind = z.infer<typeof configurationKindSchema>;
export type StoredObject = z.infer<typeof storedObjectSchema>;

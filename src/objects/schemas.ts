/**
 * The kinds of object kept in the platform's service, and the schema of each.
 *
 * `model`, `service`, `workspace` and `policy` are what operators write. `instance` is the
 * platform's own lagging list. `domain-plan`, `call-record` and `call-index` are written by the entries.
 * Every stored object carries the platform's revision of its last change as its `version`:
 * revisions are shared by all kinds and only grow.
 */
import * as z from 'zod';
import { labelsSchema, selectorSchema } from '../core/labels/index.js';

/** A name as objects and instances carry it. */
export const nameSchema = z
  .string()
  .max(120)
  .regex(/^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$/, 'lower-case letters, digits, ".", "_" and "-"');

const positive = z.number().int().positive();
const count = z.number().int().nonnegative();

/** A model and the instances that may serve it. */
export const modelSchema = z.strictObject({
  labels: labelsSchema.default({}),
  /** Which engine instances may serve it. */
  selector: selectorSchema.default([]),
  /** Version of the weights that engines are to load. */
  weights: z.string().min(1).max(200).default('1'),
  /** Instances that form one replica; all of one fabric domain. */
  replicaSize: positive.max(64).default(1),
  /** Replicas wanted over all fabric domains. */
  replicas: count.max(10_000),
  /** Higher is served first when instances are short. */
  importance: z.number().int().min(0).max(100).default(50),
  adapters: z.array(nameSchema).max(64).default([]),
});

/** How calls to some paths of a plain service may be treated. The first rule that matches wins. */
export const callRuleSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS', '*']).default('*'),
  /** Matches the path itself and what is below it. */
  pathPrefix: z.string().startsWith('/').default('/'),
  /**
   * `repeatable`: may be sent again after an unknown outcome. `once`: runs at most once and needs
   * an Idempotency-Key. `single`: never sent twice by the system, no key needed.
   */
  handling: z.enum(['repeatable', 'once', 'single']),
});

/** A plain service beside the model engines. */
export const serviceSchema = z.strictObject({
  labels: labelsSchema.default({}),
  selector: selectorSchema.default([]),
  /** Without a matching rule, GET, HEAD and OPTIONS are repeatable and the rest `single`. */
  rules: z.array(callRuleSchema).max(64).default([]),
  timeoutMs: positive.max(600_000).default(10_000),
});

/** Names of the request classes; policy maps each to an engine priority and deadline. */
export const requestClassSchema = z.enum(['gate', 'interactive', 'batch']);

/** Who is served, and how much. */
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
      concurrentRequests: positive.default(1_000),
      tokensPerSecond: z.number().positive().default(300_000),
    })
    .prefault({}),
  /** Share of an entry's queue relative to other workspaces. */
  weight: z.number().positive().max(1_000).default(1),
  classes: z.array(requestClassSchema).min(1).default(['gate', 'interactive', 'batch']),
  /** Models and services it may use, by their labels. */
  selector: selectorSchema.default([]),
});

const classPolicySchema = z.strictObject({
  /** Higher is scheduled first by the engines. */
  priority: z.number().int().min(0).max(9),
  /** Deadline for a request that names none. */
  deadlineMs: positive.max(3_600_000),
});

/** System-wide policy; one object, named `default`. */
export const policySchema = z.strictObject({
  /** What the planner weighs: time a replica cannot serve against idle healthy accelerators. */
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
  /** Engines that refuse an order with an old fencing number. The others ignore the number. */
  fencingChecked: selectorSchema.default([]),
  /** How long the outcome of a call that may run only once is kept. */
  callRecordRetentionMs: positive.default(86_400_000),
});

/** An instance as the platform lists it; late by the platform's lag. */
export const instanceSchema = z.strictObject({
  role: z.enum(['entry', 'engine', 'service']),
  /** `host:port`, an IP number and a port. */
  address: z.string().regex(/^[^:\s]+:\d{1,5}$/),
  state: z.enum(['live', 'leaving']).default('live'),
  region: nameSchema.default('default'),
  failureDomain: nameSchema,
  /** Only entries have one: where the other entries reach it. */
  peerAddress: z
    .string()
    .regex(/^[^:\s]+:\d{1,5}$/)
    .optional(),
  /** Only engines have one. */
  fabricDomain: nameSchema.optional(),
  labels: labelsSchema.default({}),
});

/** One start of one instance: a restarted process has another incarnation. */
export const incarnationSchema = z.string().min(1).max(80);

export const replicaPhaseSchema = z.enum(['planned', 'loading', 'whole', 'draining', 'released']);

/** One replica of a model: instances of one fabric domain that serve together or not at all. */
export const replicaSchema = z.strictObject({
  id: nameSchema,
  model: nameSchema,
  weights: z.string(),
  /** Grows with every plan change that touches the replica; orders carry it. */
  fence: count,
  phase: replicaPhaseSchema,
  /** In rank order: the first leads and takes the requests. */
  members: z.array(z.strictObject({ instance: nameSchema, incarnation: incarnationSchema })),
});

/** All replicas of one fabric domain and who may change them, in one object. */
export const domainPlanSchema = z.strictObject({
  /** Absent until a first owner has taken the domain. */
  owner: z
    .strictObject({
      entry: nameSchema,
      incarnation: incarnationSchema,
      /** Grows by one each time the domain changes hands. */
      term: count,
      /** How long after its last seen change the others leave the owner alone. */
      leaseMs: positive,
      /** Grows with each renewal, so that a renewal is a change. */
      renewal: count,
    })
    .optional(),
  /** The last fencing number given out in this domain. */
  fence: count,
  replicas: z.array(replicaSchema),
  /** Healthy instances kept free on purpose. */
  spares: z.array(nameSchema),
});

/** The record of one call that may run only once, by workspace and Idempotency-Key. */
export const callRecordSchema = z.strictObject({
  workspace: nameSchema,
  service: nameSchema,
  /** Hash of method, path and body: another request under the same key is refused. */
  fingerprint: z.string(),
  /** Who may send the call, and from which start of that entry. */
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
    /** Ran and was answered, with an answer too large to keep. */
    z.strictObject({ kind: z.literal('answerTooLarge'), status: z.number().int() }),
    /** Proved not to have reached any backend server: the key may be claimed again. */
    z.strictObject({ kind: z.literal('notRun') }),
    z.strictObject({ kind: z.literal('unknown') }),
  ]),
});

/** What is left of a call record past the retention: only that its key was used. */
export const expiredCallRecordSchema = z.strictObject({
  state: z.strictObject({ kind: z.literal('expired') }),
});

/**
 * By which call records past the retention are found without listing all: an `hour` names the
 * series of lists whose records are to be removed in it, a `list` names records of one entry.
 */
export const callIndexSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('hour'), series: z.array(nameSchema).max(8_000) }),
  z.strictObject({
    kind: z.literal('list'),
    records: z
      .array(z.strictObject({ name: nameSchema, version: count, timed: z.boolean() }))
      .max(8_000),
  }),
]);

/** The schema of each kind's value. */
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

/** The kinds that operators write; together they are the configuration. */
export const CONFIGURATION_KINDS = ['model', 'service', 'workspace', 'policy'] as const;
export const configurationKindSchema = z.enum(CONFIGURATION_KINDS);

/** An object as the platform stores it. A deleted one is kept as a tombstone without value. */
export const storedObjectSchema = z.object({
  kind: objectKindSchema,
  name: nameSchema,
  /** The platform's revision of the last change. */
  version: count,
  /** Given by the writer of that change, so that it recognises its own after a lost answer. */
  nonce: z.string(),
  deleted: z.boolean(),
  /** Checked against the kind's schema by whoever uses it; null in a tombstone. */
  value: z.unknown(),
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

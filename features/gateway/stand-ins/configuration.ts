/**
 * An example configuration in the format of the platform.
 */

export interface ExampleOptions {
  version?: number;
  /** Overrides fields of all routes. */
  route?: Record<string, unknown>;
  keys?: readonly string[];
  /** Overrides fields of the engine of the engine service. */
  engine?: Record<string, unknown>;
  /** Overrides fields of all services. */
  service?: Record<string, unknown>;
}

export const MODEL = 'small';
export const KEY = 'key-1';

/** Headers of a caller's request. */
export function exampleHeaders(id: string, deadlineMs = 2_000): Record<string, string> {
  return {
    host: 'passes.example',
    'Attempt-Id': id,
    'Deadline-Ms': String(deadlineMs),
    Authorization: `Bearer ${KEY}`,
    Model: MODEL,
    'Token-Count': '100,50',
    'Prompt-Prefix': 'aa:40,bb:60',
  };
}

/** A plain service with a safe and an unsafe route, and an engine service with a streaming route. */
export function exampleConfiguration(options: ExampleOptions = {}): unknown {
  const { version = 2, route = {}, keys = [KEY], service = {}, engine = {} } = options;
  const common = {
    host: 'passes.example',
    timeout_ms: 2_000,
    target_latency_ms: 300,
    priority: 1,
    max_attempts: 2,
    allow_anonymous: false,
    ...route,
  };
  return {
    version,
    routes: [
      { ...common, name: 'list', path_prefix: '/list/', kind: 'safe', service: 'app' },
      { ...common, name: 'check', path_prefix: '/check/', kind: 'unsafe', service: 'app' },
      {
        ...common,
        name: 'chat',
        path_prefix: '/chat/',
        kind: 'streaming',
        service: 'models',
        stream_resume: true,
        gap_target_ms: 200,
      },
    ],
    services: [
      { name: 'app', health_path: '/healthz', max_connections: 50, ...service },
      {
        name: 'models',
        health_path: '/healthz',
        max_connections: 50,
        ...service,
        engine: {
          slots: 12,
          stride: 5,
          models: [{ name: MODEL, size: 2, share: 1, pace: 0.6, load_s: 0.1, warm_s: 0.05 }],
          step_ms: 1,
          per_seq_ms: 0.1,
          read_per_s: 45_900,
          chunk: 2_048,
          loads_per_s: 5,
          loads_at_once: 7,
          form_ms: 10,
          ...engine,
        },
      },
    ],
    tenants: [{ name: 'market', api_keys: keys, priority: 1 }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 65_536,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}

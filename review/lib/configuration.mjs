/** The operator's configuration of a small site, with the requests of halvorsen-passport's sheet. */

export const HOST = 'ficu95.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const MODEL = 'm1';

export function createConfiguration({
  version = 2,
  engine = {},
  idleMs = 15_000,
  timeoutMs = 1_500,
} = {}) {
  const route = (name, kind, service, fields) => ({
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    kind,
    service,
    priority: 1,
    allow_anonymous: false,
    ...fields,
  });
  return {
    version,
    routes: [
      route('checkin', 'unsafe', 'gate-app', {
        timeout_ms: timeoutMs,
        target_latency_ms: 150,
        max_attempts: 1,
      }),
      route('lookup', 'safe', 'gate-app', {
        timeout_ms: timeoutMs,
        target_latency_ms: 150,
        max_attempts: 2,
      }),
      route('brief', 'streaming', 'lm-bench', {
        timeout_ms: 6_000,
        target_latency_ms: 300,
        gap_target_ms: 200,
        max_attempts: 2,
        stream_resume: true,
        session_affinity: true,
      }),
    ],
    services: [
      { name: 'gate-app', health_path: '/healthz', max_connections: 49 },
      {
        name: 'lm-bench',
        health_path: '/healthz',
        max_connections: 198,
        engine: {
          slots: 12,
          kv_capacity_tokens: 1_312_941,
          stride: 5,
          step_ms: 7.8,
          per_seq_ms: 0.0947,
          context_per_k: 0.0096,
          read_per_s: 45_900,
          chunk: 2_048,
          loads_per_s: 5,
          loads_at_once: 7,
          form_ms: 300,
          models: [{ name: MODEL, size: 2, share: 1, pace: 0.6, load_s: 12, warm_s: 1.1 }],
          ...engine,
        },
      },
    ],
    tenants: [{ name: 'hule930', api_keys: [KEY], priority: 1 }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: idleMs,
    },
  };
}

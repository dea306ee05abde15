/**
 * Prometheus metrics of a gateway.
 */
import { Counter, Gauge, type Registry } from 'prom-client';
import { createMetrics, type Metrics } from '../../core/metrics/index.js';

/** Metrics of requests and of calls to the store, engines and backend servers. */
export interface GatewayMetrics extends Metrics {
  registry: Registry;
  requests: Counter<'route' | 'outcome'>;
  attempts: Counter<'outcome'>;
  departures: Counter<'phase'>;
  lateness: Gauge;
  retries: Counter<'service' | 'outcome'>;
  queued: Counter<'workspace' | 'outcome'>;
  storeCalls: Counter;
  storeReturns: Counter;
  orders: Counter<'kind' | 'outcome'>;
  loads: Counter<'reason' | 'traffic'>;
  probes: Counter;
  connections: Counter;
  suspicions: Counter;
  lostLinks: Gauge;
  evacuatedDomains: Gauge;
  slowServers: Gauge;
  timedAnswers: Counter<'kind' | 'outcome'>;
  relayed: Counter<'outcome'>;
  cooldowns: Counter<'kind'>;
  leavingAnswers: Counter;
  coldServers: Gauge;
  coldHeldBack: Counter<'outcome'>;
  quarantined: Counter;
  suppressedLines: Counter;
  readiness: Gauge;
}

/** Creates the metrics in a new registry. */
export function createGatewayMetrics(): GatewayMetrics {
  const metrics = createMetrics({ samplesEventLoop: false });
  const registers = [metrics.registry];
  return {
    ...metrics,
    requests: new Counter({
      name: 'yuccasail_gateway_requests_total',
      help: 'Requests of callers, by kind of route and outcome.',
      labelNames: ['route', 'outcome'],
      registers,
    }),
    attempts: new Counter({
      name: 'yuccasail_gateway_attempts_total',
      help: 'Sendings to backend servers, by outcome.',
      labelNames: ['outcome'],
      registers,
    }),
    departures: new Counter({
      name: 'yuccasail_gateway_departures_total',
      help: 'Requests whose callers left, by how far the request was: receiving, waiting, sent, relayed or answering.',
      labelNames: ['phase'],
      registers,
    }),
    lateness: new Gauge({
      name: 'yuccasail_gateway_lateness_seconds',
      help: 'How late the process was at worst within the last second, for timers and for what arrives.',
      registers,
    }),
    retries: new Counter({
      name: 'yuccasail_gateway_retries_total',
      help: 'Sendings beyond the first of their request that the retry budget of the service allowed or denied.',
      labelNames: ['service', 'outcome'],
      registers,
    }),
    queued: new Counter({
      name: 'yuccasail_gateway_queued_requests_total',
      help: 'Requests that left the queue of a model, by workspace and outcome: sent, refused for lack of room, or refused since the share of the workspace was used.',
      labelNames: ['workspace', 'outcome'],
      registers,
    }),
    storeCalls: new Counter({
      name: 'yuccasail_gateway_store_calls_total',
      help: 'Calls to the object store.',
      registers,
    }),
    storeReturns: new Counter({
      name: 'yuccasail_gateway_store_returns_total',
      help: 'Returns of the object store from an older copy.',
      registers,
    }),
    orders: new Counter({
      name: 'yuccasail_gateway_orders_total',
      help: 'Orders to engines, by kind and outcome.',
      labelNames: ['kind', 'outcome'],
      registers,
    }),
    loads: new Counter({
      name: 'yuccasail_gateway_loads_total',
      help: 'Orders for which engines load weights from the weight store, by reason and by whether traffic had begun. The weight store gets the sum over all gateways.',
      labelNames: ['reason', 'traffic'],
      registers,
    }),
    probes: new Counter({
      name: 'yuccasail_gateway_probes_total',
      help: 'Reports asked of engines.',
      registers,
    }),
    connections: new Counter({
      name: 'yuccasail_gateway_connections_total',
      help: 'Connections opened to backend servers for requests.',
      registers,
    }),
    suspicions: new Counter({
      name: 'yuccasail_gateway_suspicions_total',
      help: 'Backend servers found to stand still.',
      registers,
    }),
    lostLinks: new Gauge({
      name: 'yuccasail_gateway_lost_links',
      help: 'Backend servers that answer other gateways, but not this one.',
      registers,
    }),
    evacuatedDomains: new Gauge({
      name: 'yuccasail_gateway_evacuated_failure_domains',
      help: 'Failure domains that operators have evacuated, as far as this gateway knows.',
      registers,
    }),
    slowServers: new Gauge({
      name: 'yuccasail_gateway_slow_servers',
      help: 'Backend servers that count as slow.',
      registers,
    }),
    timedAnswers: new Counter({
      name: 'yuccasail_gateway_timed_answers_total',
      help: 'Times of backend servers that were compared with the usual ones, or ignored since this process was late.',
      labelNames: ['kind', 'outcome'],
      registers,
    }),
    relayed: new Counter({
      name: 'yuccasail_gateway_relayed_requests_total',
      help: 'Requests that other gateways had this one send to backend servers, by outcome.',
      labelNames: ['outcome'],
      registers,
    }),
    cooldowns: new Counter({
      name: 'yuccasail_gateway_cooldowns_total',
      help: 'Refusals of backend servers with a cooldown, by whether its time could be read.',
      labelNames: ['kind'],
      registers,
    }),
    leavingAnswers: new Counter({
      name: 'yuccasail_gateway_leaving_answers_total',
      help: 'Answers in which backend servers said that they are leaving.',
      registers,
    }),
    coldServers: new Gauge({
      name: 'yuccasail_gateway_cold_servers',
      help: 'Backend servers that are cold, or count as cold since they have just started.',
      registers,
    }),
    coldHeldBack: new Counter({
      name: 'yuccasail_gateway_cold_held_back_total',
      help: 'Requests that found only cold backend servers without a permit, by outcome.',
      labelNames: ['outcome'],
      registers,
    }),
    quarantined: new Counter({
      name: 'yuccasail_gateway_quarantined_total',
      help: 'Requests that were put into quarantine since backend servers end under them.',
      registers,
    }),
    suppressedLines: new Counter({
      name: 'yuccasail_gateway_log_lines_suppressed_total',
      help: 'Log lines that were over their budget.',
      registers,
    }),
    readiness: new Gauge({
      name: 'yuccasail_gateway_ready',
      help: '1 while the gateway tells the balancer that it takes callers.',
      registers,
    }),
  };
}

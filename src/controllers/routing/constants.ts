/**
 * Tuning parameters of the dispatcher.
 */
import type { RequestClass } from '../../objects/index.js';

/** Request classes from highest to lowest priority. */
export const CLASS_ORDER: readonly RequestClass[] = ['gate', 'interactive', 'batch'];

/** One-way network latency assumed between an entry and a replica, by their locations. */
export const SAME_DOMAIN_LATENCY_MS = 1;
export const SAME_REGION_LATENCY_MS = 2;
export const OTHER_REGION_LATENCY_MS = 20;

/**
 * Candidates sampled per decision: from the same failure domain, the same region and other regions.
 */
export const SAME_DOMAIN_SAMPLE_SIZE = 8;
export const SAME_REGION_SAMPLE_SIZE = 6;
export const OTHER_REGION_SAMPLE_SIZE = 2;
/** Additional candidates per decision that probably have the prompt's prefix cached. */
export const PREFIX_AFFINITY_SAMPLE_SIZE = 4;
/** Estimates within this margin of the best, or within this fraction of it, count as ties. */
export const TIE_TOLERANCE_MS = 10;
export const TIE_TOLERANCE_FRACTION = 0.15;

/** Requests allowed to queue at an engine beyond its batch, as a fraction of the batch size. */
export const MAX_QUEUED_BATCH_FRACTION = 0.25;
/**
 * Prefill backlog above which an engine receives no more requests. Requests held back here are
 * still subject to fair queueing, those queued at the engine are not.
 */
export const MAX_PREFILL_BACKLOG_MS = 1_500;
/** The same limit for requests of a noisy neighbor. */
export const NOISY_NEIGHBOR_MAX_BACKLOG_MS = 50;
/** Fraction of the batch slots that a noisy neighbor must leave free. */
export const HEADROOM_FRACTION = 0.55;
/**
 * Requests of a noisy neighbor that may await their first token, per replica in this entry's share.
 */
export const NOISY_NEIGHBOR_MAX_AWAITING_PER_REPLICA = 0.5;
/** Share of the weighted demand above which a workspace may count as a noisy neighbor. */
export const NOISY_NEIGHBOR_DEMAND_SHARE = 0.45;
/**
 * The same threshold as a multiple of the fair share; keeps two workspaces with equal demand from
 * throttling each other.
 */
export const NOISY_NEIGHBOR_FAIR_SHARE_MULTIPLE = 1.5;
/** Half-life of an arrival's contribution to a workspace's recent arrivals. */
export const ARRIVALS_HALF_LIFE_MS = 300;
/**
 * Queue length from which a workspace may count as a noisy neighbor on an entry that is not busy.
 */
export const NOISY_NEIGHBOR_QUEUE_LENGTH = 8;
/** Replicas that consistent hashing assigns to each prefix. */
export const PREFERRED_REPLICAS_PER_PREFIX = 2;
/** Fraction of the longest known prefix assumed to be cached at a preferred replica. */
export const PREFERRED_REPLICA_CACHED_FRACTION = 0.9;
/** A workspace is inactive after this time without a request. */
export const ACTIVE_WORKSPACE_WINDOW_MS = 10_000;
/** Assumed for an engine that has not reported its load yet. */
export const DEFAULT_BATCH_SIZE = 4;
export const DEFAULT_PREFILL_MS_PER_TOKEN = 0.2;
export const DEFAULT_DECODE_MS_PER_TOKEN = 20;

/** EWMA weight of the latest measurement in a replica's slowdown. */
export const SLOWDOWN_EWMA_WEIGHT = 0.2;
/** Bounds of a replica's slowdown, the ratio of measured to estimated time to first token. */
export const MIN_SLOWDOWN = 0.5;
export const MAX_SLOWDOWN = 16;
/** Half-life of the decay of a slowdown towards 1 when nothing is measured. */
export const SLOWDOWN_HALF_LIFE_MS = 10_000;

/** How long requests stay queued while a model has no replica. */
export const NO_CAPACITY_GRACE_MS = 2_000;
/** `Retry-After` while a model has no replica; roughly the time it takes to form one again. */
export const NO_CAPACITY_RETRY_AFTER_MS = 5_000;
/** EWMA weight of the latest interval between sends; low because sends come in bursts. */
export const SEND_INTERVAL_EWMA_WEIGHT = 0.05;
/** EWMA weight of the latest completion in the mean generation time per token. */
export const GENERATION_TIME_EWMA_WEIGHT = 0.05;
/**
 * Multiplier on the estimated wait and generation time when a new request is admitted, so that
 * admitted requests still meet their deadlines if the requests ahead take longer than average.
 */
export const ADMISSION_SAFETY_FACTOR = 1.5;
/** Bounds of `Retry-After` for overload. */
export const MIN_RETRY_AFTER_MS = 100;
export const MAX_RETRY_AFTER_MS = 60_000;
/** How often capacity is checked again while requests are queued and no event arrives. */
export const RECHECK_INTERVAL_MS = 20;
/**
 * A class is served out of order once higher classes were served this many times the cost of its
 * next request.
 */
export const STARVATION_FACTOR = 10;

/** Limit of prefixes tracked per replica. */
export const MAX_PREFIXES_PER_REPLICA = 512;
/** Limit of replicas tracked per prefix. */
export const MAX_REPLICAS_PER_PREFIX = 16;
/** Statistics of a replica are dropped after this time without activity. */
export const REPLICA_STATS_TTL_MS = 120_000;
/** A slowdown below this counts as 1, since single measurements vary this much. */
export const SLOWDOWN_THRESHOLD = 1.75;
/** Fraction of batch slots in use from which an entry counts as busy. */
export const BUSY_SLOT_FRACTION = 0.8;
/**
 * Requests awaiting their first token, per replica in this entry's share, from which it counts as
 * busy.
 */
export const BUSY_AWAITING_PER_REPLICA = 2;

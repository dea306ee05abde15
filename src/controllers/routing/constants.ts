/**
 * Bounds and weights of the dispatch decision. Spans are in milliseconds.
 */
import type { RequestClass } from '../../objects/index.js';

/** Classes in the order in which they are served. */
export const CLASS_ORDER: readonly RequestClass[] = ['gate', 'interactive', 'batch'];

/** One-way network distance to a replica, until it has been measured. */
export const SAME_DOMAIN_MS = 1;
export const SAME_REGION_MS = 2;
export const OTHER_REGION_MS = 20;

/** Candidates of the own failure domain, region and elsewhere that one choice looks at. */
export const LOCAL_SAMPLE = 8;
export const REGION_SAMPLE = 6;
export const REMOTE_SAMPLE = 2;
/** Replicas believed to hold the longest prefix that one choice looks at. */
export const AFFINITY_SAMPLE = 4;
/** Estimates this close to the best count as equal; one of them is taken at random. */
export const TIE_MS = 10;
/** The same, as a fraction of the best estimate. */
export const TIE_FRACTION = 0.15;

/** Requests beyond the batch that may wait at an engine, as a fraction of its batch. */
export const BACKLOG_FRACTION = 0.25;
/** Prefill work beyond which an engine is given no more: what waits here keeps its order. */
export const MOST_PREFILL_BACKLOG_MS = 1_500;
/** The same for a workspace that crowds out others, which leaves the engines some headroom. */
export const CROWDED_PREFILL_BACKLOG_MS = 50;
/** Fraction of a batch that such a workspace leaves free. */
export const HEADROOM_FRACTION = 0.55;
/** Requests of it that may wait for their first token, for each replica of this entry's part. */
export const CROWD_UNANSWERED = 0.5;
/** Part of all that is asked for, by weight, above which a workspace may count as crowding. */
export const CROWD_PART = 0.45;
/** The same in parts that would be fair, so that two equal workspaces do not hold each other up. */
export const CROWD_FAIR_PARTS = 1.5;
/** An arrival counts half as much towards a workspace's part after this span. */
export const ARRIVALS_HALF_LIFE_MS = 300;
/** Waiting requests from which on a workspace may count as crowding. */
export const CROWD_LENGTH = 8;
/** Replicas that all entries look at first for one prefix. */
export const HOME_SAMPLE = 2;
/** Part of a known prefix that a home replica is taken to have cached without being believed to. */
export const HOME_CACHED_PART = 0.9;
/** A workspace that asked for nothing for longer does not count as active. */
export const ACTIVE_MS = 10_000;
/** Taken for an engine that has not reported yet. */
export const DEFAULT_BATCH_SIZE = 4;
export const DEFAULT_PREFILL_MS_PER_TOKEN = 0.2;
export const DEFAULT_DECODE_MS_PER_TOKEN = 20;

/** Weight of the newest measurement in a learned ratio. */
export const LEARNING_RATE = 0.2;
/** Bounds of a replica's learned ratio of measured to estimated first-token time. */
export const LEAST_SLOWNESS = 0.5;
export const MOST_SLOWNESS = 16;
/** A learned ratio loses half of its distance from 1 in this span without measurements. */
export const SLOWNESS_HALF_LIFE_MS = 10_000;

/** A request waits this long for a model's first replica to come back before it is refused. */
export const NO_CAPACITY_GRACE_MS = 2_000;
/** `Retry-After` while nothing is in service: about the time in which a replica is re-formed. */
export const NO_CAPACITY_RETRY_MS = 5_000;
/** Weight of the newest span between two sends: they come in bursts, and few would say little. */
export const SEND_RATE = 0.05;
/** Weight of the newest answer in the mean span that answers take. */
export const ANSWER_RATE = 0.05;
/**
 * What a request on its arrival is reckoned to wait and to take, of the estimate: one that is let in
 * should be served, also when those ahead of it take longer than most.
 */
export const ARRIVAL_MARGIN = 1.5;
/** Bounds of `Retry-After` for an overload. */
export const LEAST_RETRY_MS = 100;
export const MOST_RETRY_MS = 60_000;
/** While requests wait, room is looked for again after this span without any event. */
export const RECHECK_MS = 20;
/** A lower class is served after this many times its own cost went past it. */
export const STARVATION_FACTOR = 10;

/** Prefixes believed to be cached, for each replica. */
export const MAX_BELIEVED_PREFIXES = 512;
/** Replicas remembered as holders of one prefix. */
export const MAX_HOLDERS = 16;
/** A replica that is neither sent to nor heard of for this long is forgotten. */
export const FORGET_REPLICA_MS = 120_000;
/** A learned ratio below this counts as 1: single first-token times scatter that much. */
export const SLOW_FROM = 1.75;
/** Part of its places in use from which on an entry counts as busy. */
export const BUSY_FRACTION = 0.8;
/** Requests without a first token, for each replica of its part, from which on it is busy too. */
export const BUSY_UNANSWERED = 2;

/**
 * Limits and timeouts of at-most-once calls.
 */

/** Longest Idempotency-Key accepted, in characters. */
export const MAX_KEY_LENGTH = 255;

/**
 * Largest response body stored in a call record, in bytes. Base64 adds a third, which still leaves
 * room for headers within the platform's limit of 1 MB per value.
 */
export const MAX_STORED_BODY_BYTES = 512 * 1024;

/** Largest total size of response headers stored in a call record, in characters. */
export const MAX_STORED_HEADER_CHARACTERS = 32 * 1024;

/** Retry delay sent while another request with the same key is in progress, in ms. */
export const IN_PROGRESS_RETRY_MS = 1_000;

/** Default retry delay sent when no call record can be written, in ms. */
export const UNAVAILABLE_RETRY_MS = 1_000;

/**
 * Age in ms at which a claim expires if the peer table lists another incarnation of its claimant.
 * Longer than a restart takes to become known to all entries, as the claim may belong to the newer
 * incarnation.
 */
export const RESTARTED_CLAIMANT_TIMEOUT_MS = 10_000;

/** Age at which a claim expires although its claimant is alive, in ms. */
export const LIVE_CLAIMANT_TIMEOUT_MS = 900_000;

/** Maximum number of claims whose first observation is remembered. */
export const MAX_OBSERVED_CLAIMS = 4_096;

/** Maximum lead of a key's timestamp over this entry's wall clock, in ms. */
export const MAX_KEY_CLOCK_LEAD_MS = 86_400_000;

/** Maximum wall clock skew between entries, in ms. Records outlive their keys by this span. */
export const MAX_CLOCK_SKEW_MS = 3_600_000;

/** Maximum total size of the values in a batch, in characters; a single write may exceed it. */
export const MAX_BATCH_CHARACTERS = 1_000_000;

/** Maximum number of concurrent platform calls per entry. */
export const MAX_BATCHES_IN_FLIGHT = 8;

/** Number of queued writes per entry at which new claims are refused. */
export const MAX_WAITING_WRITES = 8_192;

/** Maximum rate of platform calls for call records, shared by all entries. */
export const PLATFORM_CALLS_PER_SECOND = 200;

/** Consecutive platform failures up to which claims are still queued instead of refused. */
export const MAX_FAILURES_BEFORE_REFUSAL = 1;

/** Initial and maximum backoff after failed platform calls, in ms. */
export const INITIAL_BACKOFF_MS = 250;
export const MAX_BACKOFF_MS = 1_000;

/** Maximum number of open calls per entry: in progress, or with an unsettled record. */
export const MAX_OPEN_CALLS = 8_192;

/** Maximum total body size of the responses an entry holds until they are recorded, in bytes. */
export const MAX_HELD_ANSWER_BYTES = 16 * 1024 * 1024;

export const HOUR_MS = 3_600_000;

/** How many past hours are searched for expired records; covers outages of a few days. */
export const CLEANUP_LOOKBACK_HOURS = 96;

/** Maximum number of settled records an entry remembers before it writes them to a list. */
export const MAX_UNLISTED_RECORDS = 50_000;

/** Maximum number of records per list. */
export const MAX_LISTED_RECORDS = 5_000;

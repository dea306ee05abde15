/**
 * Bounds and spans of calls that may run only once.
 */

/** Longest Idempotency-Key taken, in characters. */
export const MAX_KEY_LENGTH = 255;

/**
 * Largest answer kept, in bytes of its body. In base64 it takes 4/3 of that, which stays under the
 * platform's 1 MB per value with room for headers.
 */
export const MAX_KEPT_BODY_BYTES = 512 * 1024;

/** Largest sum of an answer's header fields that is kept, in characters. */
export const MAX_KEPT_HEADER_CHARACTERS = 32 * 1024;

/** What a caller is told to wait while another request with its key is in progress, in ms. */
export const IN_PROGRESS_RETRY_MS = 1_000;

/** What a caller is told to wait when no record can be made and nothing better is known, in ms. */
export const UNAVAILABLE_RETRY_MS = 1_000;

/**
 * How long a claim stands before it is given up when another start of its claimant is heard of, in
 * ms. Longer than news of a restart takes to reach all entries: the claim may be the newer start's.
 */
export const REPLACED_CLAIM_MS = 10_000;

/** How long a claim stands before it is given up though its claimant is heard of, in ms. */
export const HEARD_CLAIM_MS = 900_000;

/** Claims of other entries whose age is remembered. */
export const MAX_OBSERVED_CLAIMS = 4_096;

/** Furthest that a key's time may lie ahead of this entry's wall clock, in ms. */
export const MAX_KEY_AHEAD_MS = 86_400_000;

/** Most that wall clocks of two entries are apart, in ms; records outlive their keys by it. */
export const CLOCK_SKEW_MS = 3_600_000;

/** Size of the values in one platform call, in characters, above which no further write joins. */
export const MAX_BATCH_CHARACTERS = 1_000_000;

/** Platform calls under way at once from one entry. */
export const MAX_BATCHES_UNDER_WAY = 8;

/** Writes that wait for a batch at one entry. */
export const MAX_WAITING_WRITES = 8_192;

/** Platform calls per second that all entries together make for call records. */
export const PLATFORM_CALLS_PER_SECOND = 200;

/** Platform calls that may fail in a row before claims are refused at once instead of waiting. */
export const TOLERATED_FAILURES = 1;

/** First and longest wait after platform calls that failed, in ms. */
export const FIRST_BACKOFF_MS = 250;
export const MAX_BACKOFF_MS = 1_000;

/** Calls that one entry keeps open: in progress, or with a record still to be settled. */
export const MAX_OPEN_CALLS = 8_192;

/** Answers that one entry holds until they are recorded, in bytes of their bodies. */
export const MAX_HELD_ANSWER_BYTES = 16 * 1024 * 1024;

/** One hour, in ms. */
export const HOUR_MS = 3_600_000;

/** How many hours back records that are due are looked for: covers outages of a few days. */
export const LOOK_BACK_HOURS = 96;

/** Settled records that one entry remembers until it has listed them. */
export const MAX_UNLISTED_RECORDS = 50_000;

/** Records in one list. */
export const MAX_LISTED_RECORDS = 5_000;

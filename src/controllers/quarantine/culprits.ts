/**
 * Decides which fingerprints backend servers fail for.
 *
 * All requests on a failed server are involved in its failure, and sound requests share most parts of
 * their prompts with the one that caused it. What sets the cause apart is that nothing with it is
 * answered. A part that was answered shortly before may have stopped working only now, or may just not
 * have been answered again yet; it takes more failures, and some time without any answer.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { isSameFailure, type Evidence, type Involvement } from './evidence.js';
import { isPartFingerprint } from './types.js';

/** Number of unattributed failures after which a fingerprint is quarantined. */
const FAILURES_UNTIL_QUARANTINE = 3;
/** The same for a fingerprint that is quarantined already, but only together with others. */
const FAILURES_UNTIL_WIDENED = 2;
/** The same for a part that was answered before. */
export const FAILURES_OF_ANSWERED_PART = 5;
/** For so long a part that was answered before must have failed without an answer. */
export const ANSWERED_PART_WAIT_MS: Milliseconds = 2_000;
/** Servers that fail together, such as for lack of power, don't fail for something in a request. */
const SIMULTANEOUS_MS: Milliseconds = 100;
const QUARANTINE_MS: Milliseconds = 600_000;
/** Short, since a wrong quarantine of a part that many requests share would refuse all of them. */
const ANSWERED_PART_QUARANTINE_MS: Milliseconds = 30_000;

/** A quarantine: requests with all of the fingerprints are held. */
export interface HeldFingerprints {
  fingerprints: readonly string[];
}

/** Fingerprints to be quarantined together, because no failure tells them apart. */
export interface Culprit extends HeldFingerprints {
  forMs: Milliseconds;
}

/** A fingerprint that explains enough failures. */
interface Candidate {
  fingerprint: string;
  failures: readonly Involvement[];
  /** Those that each request with it had as well, at each failure. */
  companions: readonly string[];
}

/**
 * The most specific fingerprints that explain enough failures which `held` doesn't explain; undefined
 * if none of `suspects` explains enough. `isRepeated` tells whether one was quarantined before.
 */
export function findCulprit(
  evidence: Evidence,
  suspects: Iterable<string>,
  held: readonly HeldFingerprints[],
  isRepeated: (fingerprint: string) => boolean,
  now: Milliseconds,
): Culprit | undefined {
  if (![...suspects].some((each) => isCulprit(evidence, each, held, now))) return undefined;
  const candidates = evidence
    .listFailed(FAILURES_UNTIL_WIDENED)
    .filter((each) => isCulprit(evidence, each, held, now))
    .map((fingerprint) => toCandidate(evidence, fingerprint))
    .filter(({ fingerprint }) => !isDominated(evidence, fingerprint));
  const [best] = candidates.sort(
    (a, b) =>
      b.companions.length - a.companions.length ||
      b.failures.length - a.failures.length ||
      Number(isPartFingerprint(b.fingerprint)) - Number(isPartFingerprint(a.fingerprint)),
  );
  if (best === undefined) return undefined;
  const { fingerprint, failures, companions } = best;
  const firstAt = firstOf(failures);
  const wasSound = evidence.wasAnsweredBefore(fingerprint, firstAt);
  const inseparable = companions.filter((each) => {
    // Beside something new, what was answered before is the less likely cause.
    const isLessLikely = !wasSound && evidence.wasAnsweredBefore(each, firstAt);
    return !isLessLikely && evidence.answeredAt(each) < firstAt;
  });
  return {
    fingerprints: [fingerprint, ...inseparable].sort(),
    forMs: wasSound && !isRepeated(fingerprint) ? ANSWERED_PART_QUARANTINE_MS : QUARANTINE_MS,
  };
}

function toCandidate(evidence: Evidence, fingerprint: string): Candidate {
  const failures = evidence.failuresOf(fingerprint);
  const [first, ...others] = failures;
  const companions = (first?.companions ?? []).filter((companion) =>
    others.every((failure) => failure.companions.includes(companion)),
  );
  return { fingerprint, failures, companions };
}

/** Whether a fingerprint of other requests explains all of the failures, and more. */
export function isDominated(evidence: Evidence, fingerprint: string): boolean {
  const { failures, companions } = toCandidate(evidence, fingerprint);
  if (failures.length === 0) return false;
  return evidence
    .listFailed(failures.length + 1)
    .some(
      (other) =>
        !companions.includes(other) &&
        failures.every((failure) =>
          evidence.failuresOf(other).some((each) => isSameFailure(each, failure)),
        ),
    );
}

/** Whether the fingerprint explains enough failures that `held` doesn't explain. */
function isCulprit(
  evidence: Evidence,
  fingerprint: string,
  held: readonly HeldFingerprints[],
  now: Milliseconds,
): boolean {
  const failures = evidence.failuresOf(fingerprint);
  if (failures.length < FAILURES_UNTIL_WIDENED) return false;
  const isHeldWithOthers = held.some(({ fingerprints }) => fingerprints.includes(fingerprint));
  const unattributed = failures.filter(
    (failure) => !isAttributed(evidence, fingerprint, failure, failures.length, held),
  );
  const count = countIndependent(fingerprint, unattributed);
  if (!evidence.wasAnsweredBefore(fingerprint, firstOf(failures)))
    return count >= (isHeldWithOthers ? FAILURES_UNTIL_WIDENED : FAILURES_UNTIL_QUARANTINE);
  return count >= FAILURES_OF_ANSWERED_PART && now - firstOf(unattributed) >= ANSWERED_PART_WAIT_MS;
}

/** Whether `held` explains all known failures of the fingerprint, of which there are some. */
export function isExplained(
  evidence: Evidence,
  fingerprint: string,
  held: readonly HeldFingerprints[],
): boolean {
  const failures = evidence.failuresOf(fingerprint);
  return (
    failures.length > 0 &&
    failures.every((failure) => isAttributed(evidence, fingerprint, failure, failures.length, held))
  );
}

/**
 * Whether a quarantine explains the failure: all of its fingerprints were involved, and either in at
 * least `count` failures, or by a request that had this fingerprint as well.
 */
function isAttributed(
  evidence: Evidence,
  fingerprint: string,
  failure: Involvement,
  count: number,
  held: readonly HeldFingerprints[],
): boolean {
  return held.some(({ fingerprints }) => {
    const others = fingerprints.filter((other) => other !== fingerprint);
    return (
      others.length > 0 &&
      others.every((other) => {
        const failures = evidence.failuresOf(other);
        const same = failures.find((each) => isSameFailure(each, failure));
        // A sound request that is sent again and again is at as many failures as a part that causes them.
        const isRequestBesidePart = isPartFingerprint(fingerprint) && !isPartFingerprint(other);
        const isAsFrequent = failures.length >= count && !isRequestBesidePart;
        return same !== undefined && (isAsFrequent || same.companions.includes(fingerprint));
      })
    );
  });
}

/** Counts failures; those of a part that came together count once. */
function countIndependent(fingerprint: string, failures: readonly Involvement[]): number {
  if (!isPartFingerprint(fingerprint)) return failures.length;
  let count = 0;
  let countedAt = Number.NEGATIVE_INFINITY;
  for (const at of failures.map((failure) => failure.at).sort((a, b) => a - b)) {
    if (at - countedAt < SIMULTANEOUS_MS) continue;
    count += 1;
    countedAt = at;
  }
  return count;
}

function firstOf(failures: readonly Involvement[]): Milliseconds {
  return Math.min(...failures.map(({ at }) => at));
}

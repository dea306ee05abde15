/**
 * Decides which fingerprints backend servers fail for.
 *
 * All requests on a failed server are involved in its failure, and sound requests share most parts of
 * their prompts with the one that caused it. What sets the cause apart is that nothing with it is
 * answered. What was answered shortly before may have stopped working only now, or may just not have been
 * answered again yet; it takes more failures, and some time without any answer.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { isSameFailure, type Evidence, type Involvement } from './evidence.js';
import { covers, type QuarantineList } from './quarantine-list.js';
import { isPartFingerprint } from './types.js';

/** Number of unattributed failures after which a fingerprint is quarantined. */
const FAILURES_UNTIL_QUARANTINE = 3;
/** The same for a fingerprint that is quarantined already, but only together with others. */
const FAILURES_UNTIL_WIDENED = 2;
/** The same for a fingerprint that was answered before. */
export const FAILURES_OF_ANSWERED = 5;
/** For so long a fingerprint that was answered before must have failed without an answer. */
export const ANSWERED_WAIT_MS: Milliseconds = 2_000;
/** Servers that fail together, such as for lack of power, don't fail for something in a request. */
const SIMULTANEOUS_MS: Milliseconds = 100;
const QUARANTINE_MS: Milliseconds = 600_000;
/** Short, since a wrong quarantine would refuse what was answered until then. */
const ANSWERED_QUARANTINE_MS: Milliseconds = 30_000;

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
 * The most specific fingerprints, of those at the same servers as `suspects`, that explain enough failures
 * which no quarantine explains, and that aren't held yet; undefined if none of `suspects` explains enough.
 */
export function findCulprit(
  evidence: Evidence,
  suspects: Iterable<string>,
  quarantines: QuarantineList,
  now: Milliseconds,
): Culprit | undefined {
  const held = quarantines.all;
  const proven = [...suspects].filter((each) => isCulprit(evidence, each, held, now));
  if (proven.length === 0) return undefined;
  const servers = new Set(
    proven.flatMap((each) => evidence.failuresOf(each).map(({ server }) => server)),
  );
  return evidence
    .listFailed(FAILURES_UNTIL_WIDENED)
    .filter((each) => evidence.failuresOf(each).some(({ server }) => servers.has(server)))
    .filter((each) => isCulprit(evidence, each, held, now))
    .map((fingerprint) => toCandidate(evidence, fingerprint))
    .filter(({ fingerprint }) => !isDominated(evidence, fingerprint))
    .sort(
      (a, b) =>
        b.companions.length - a.companions.length ||
        b.failures.length - a.failures.length ||
        Number(isPartFingerprint(b.fingerprint)) - Number(isPartFingerprint(a.fingerprint)),
    )
    .map((candidate) => toCulprit(evidence, candidate, quarantines))
    .find(({ fingerprints }) => quarantines.remainingMs(fingerprints, now) === undefined);
}

/** The candidate with those of its companions that no failure and no answer tells from it. */
function toCulprit(
  evidence: Evidence,
  { fingerprint, failures, companions }: Candidate,
  quarantines: Pick<QuarantineList, 'isHeld'>,
): Culprit {
  const firstAt = firstOf(failures);
  const wasSound = evidence.wasAnsweredBefore(fingerprint, firstAt);
  const inseparable = companions.filter((each) => {
    // Beside something new, what was answered before is the less likely cause.
    const isLessLikely = !wasSound && evidence.wasAnsweredBefore(each, firstAt);
    return !isLessLikely && evidence.answeredAt(each) < firstAt;
  });
  const isRepeated = quarantines.isHeld(fingerprint);
  return {
    fingerprints: [fingerprint, ...inseparable].sort(),
    forMs: wasSound && !isRepeated ? ANSWERED_QUARANTINE_MS : QUARANTINE_MS,
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

/**
 * Whether a fingerprint of other requests explains all of the failures, and more. A request doesn't
 * explain those of a part: a sound one that is sent again and again is at all of them.
 */
export function isDominated(evidence: Evidence, fingerprint: string): boolean {
  const { failures, companions } = toCandidate(evidence, fingerprint);
  if (failures.length === 0) return false;
  return evidence
    .listFailed(failures.length + 1)
    .some(
      (other) =>
        (isPartFingerprint(other) || !isPartFingerprint(fingerprint)) &&
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
  const firstAt = firstOf(failures);
  if (!evidence.wasAnsweredBefore(fingerprint, firstAt))
    return count >= (isHeldWithOthers ? FAILURES_UNTIL_WIDENED : FAILURES_UNTIL_QUARANTINE);
  const needed = isHeldWithOthers ? FAILURES_UNTIL_WIDENED : FAILURES_OF_ANSWERED;
  return count >= needed && now - firstAt >= ANSWERED_WAIT_MS;
}

/**
 * Whether `held` explains most known failures of a combination of fingerprints, and too few are left to
 * hold it. Those with the fewest failures tell the combination from other requests.
 *
 * A narrower quarantine explains only what was answered before, and the failures of requests that it
 * holds: what many requests share is at more failures than what a few of them have besides.
 */
export function isExplained(
  evidence: Evidence,
  fingerprints: readonly string[],
  held: readonly HeldFingerprints[],
): boolean {
  const countOf = (fingerprint: string): number => evidence.failuresOf(fingerprint).length;
  const fewest = Math.min(...fingerprints.map(countOf));
  const narrower = held.filter((each) => covers({ fingerprints }, each.fingerprints));
  const others = held.filter((each) => !narrower.includes(each));
  const needed = narrower.length > 0 ? FAILURES_UNTIL_WIDENED : FAILURES_UNTIL_QUARANTINE;
  return (
    fewest > 0 &&
    fingerprints
      .filter((each) => countOf(each) === fewest)
      .every((each) => {
        const failures = evidence.failuresOf(each);
        const wasSound = evidence.wasAnsweredBefore(each, firstOf(failures));
        const unattributed = failures.filter(
          (failure) =>
            !isAttributed(evidence, each, failure, fewest, others) &&
            !(wasSound && isAttributed(evidence, each, failure, Infinity, narrower)),
        ).length;
        return unattributed < needed && 2 * unattributed < fewest;
      })
  );
}

/**
 * Whether a quarantine explains the failure: all of its fingerprints were involved, and either in at
 * least `count` failures, or by a request that had this fingerprint as well.
 *
 * A request beside a part is explained however often the part is known to have failed, since reports of
 * one failure arrive one by one. A part beside a request is not: a sound request that is sent again and
 * again is at as many failures as the part that causes them.
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
        if (same === undefined) return false;
        const isPart = isPartFingerprint(fingerprint);
        const isOtherPart = isPartFingerprint(other);
        const isAsFrequent = isPart === isOtherPart ? failures.length >= count : isOtherPart;
        return isAsFrequent || same.companions.includes(fingerprint);
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

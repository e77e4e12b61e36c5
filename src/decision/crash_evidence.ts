/**
 * Identifies requests that crash the workers that run them.
 *
 * Load: a single request that crashes every worker that starts to run it, and that its caller sends
 * again and again under new IDs, to any instance. Each crash also ends the other runs at the
 * worker, which are then sent again too. Symptom: workers that crash one after another under normal
 * load, and failing requests of all kinds.
 *
 * Mechanism: a request that was running at a crashed worker is either the cause or was there by
 * chance, and a single crash doesn't show which. So the number of workers lost while running a
 * request is counted over all instances and compared with its recent answers. The cause is never
 * answered; a request that was there by chance is answered at the next worker. A frequent request
 * may lose several workers at once, but its answers from just before count in its favor.
 *
 * Counts are lost when the instances that hold them end. A suspected request can therefore be
 * restored from the store; crashes counted later are added to the restored number.
 *
 * @module
 */
import type { RunCounts } from "./worker_health.ts";

/** A request identified by its content, independent of its ID. */
export interface SuspectRequest {
  /** Unique name of the request. */
  readonly name: string;
  /** Key under which instances exchange their counts for the request. */
  readonly key: number;
}

/** A request during whose runs several workers have crashed. */
export interface CrashFinding {
  readonly suspect: SuspectRequest;
  /** Number of workers that crashed while running the request, over all instances. */
  readonly crashes: number;
  /** Whether a worker crashed during a run that this instance started. */
  readonly isOwn: boolean;
  /** When the request was found, in milliseconds of the clock. */
  readonly since: number;
}

/**
 * One instance's counts of requests and crashes. All times are in milliseconds of the clock.
 */
export interface CrashEvidence {
  /** Records that a worker crashed while running the request. */
  recordCrash(suspect: SuspectRequest, now: number): void;
  /** Records that a worker answered the request completely. */
  recordAnswer(suspect: SuspectRequest, now: number): void;
  /** Whether the request is proven to crash workers. */
  isProven(suspect: SuspectRequest, now: number): boolean;
  /** Whether any instance has received an answer to the request since it lost workers. */
  hasAnswer(suspect: SuspectRequest): boolean;
  /**
   * Restores a number of crashes that was stored earlier, even if the instances that counted them
   * have ended.
   */
  restore(suspect: SuspectRequest, crashes: number): void;
  /** Deletes everything that was counted here or restored for a request. */
  forget(name: string): void;
  /** Returns all requests that are proven to crash workers. */
  listProven(now: number): CrashFinding[];
  /**
   * Returns the requests that were running at a worker lost here and need only one more crash to be
   * proven.
   */
  listSuspected(now: number): CrashFinding[];
  /**
   * Returns this instance's counts by key, for the other instances: `runs` is the number of crashes
   * and answers, `failures` the number of crashes.
   */
  counts(now: number): ReadonlyMap<number, RunCounts>;
}

/**
 * Number of crashes that prove that a request without answers is the cause; each answer raises the
 * threshold by the same number.
 */
export const MIN_PROVING_CRASHES = 3;
/** Milliseconds for which an answer counts in favor of a request that loses workers later. */
const ANSWER_TTL = 10_000;
/** Milliseconds for which crashes are kept after the latest one. */
export const CRASH_TTL = 600_000;
/**
 * Milliseconds after its proof for which a request stays proven even if the instances that counted
 * its crashes have ended.
 */
const PROOF_TTL = 60_000;
/**
 * Maximum number of requests whose answers, and whose crashes, are kept; the oldest are evicted.
 */
const MAX_ANSWERED_REQUESTS = 4_096;
const MAX_SUSPECTS = 512;

const NO_COUNTS: RunCounts = { runs: 0, failures: 0 };

interface SuspectCounts {
  readonly suspect: SuspectRequest;
  crashes: number;
  answers: number;
  at: number;
}

interface RecentAnswers {
  answers: number;
  at: number;
}

interface RestoredCrashes {
  readonly crashes: number;
  /**
   * Crashes counted at the time of the restore, which `crashes` includes. Decreases when the
   * instances that counted them end.
   */
  includedCrashes: number;
}

interface SuspectTotals {
  readonly crashes: number;
  readonly answers: number;
  readonly isOwn: boolean;
}

/**
 * Creates crash evidence without any counts.
 *
 * @param peerCountsOf Returns the total that all other instances have counted under a key; undefined if
 * they have counted nothing.
 */
export function createCrashEvidence(
  peerCountsOf: (key: number) => RunCounts | undefined,
): CrashEvidence {
  /** The counts that this instance sends to the others, by request name. */
  const ownCounts = new Map<string, SuspectCounts>();
  /** Recent answers by request name. */
  const recentAnswers = new Map<string, RecentAnswers>();
  const provenFindings = new Map<string, CrashFinding>();
  const restored = new Map<string, RestoredCrashes>();
  /** When a request that is not yet proven was first one crash short of it, by request name. */
  const suspectedSince = new Map<string, number>();

  const touchCounts = (suspect: SuspectRequest, now: number): SuspectCounts => {
    const found = ownCounts.get(suspect.name) ?? {
      suspect,
      crashes: 0,
      answers: answersOf(suspect.name, now),
      at: now,
    };
    // Moves the entry to the end of the map, so that it is evicted last.
    ownCounts.delete(suspect.name);
    ownCounts.set(suspect.name, found);
    found.at = now;
    return found;
  };
  const answersOf = (name: string, now: number): number => {
    const found = recentAnswers.get(name);
    return found === undefined || now - found.at > ANSWER_TTL ? 0 : found.answers;
  };
  const rememberAnswer = ({ name }: SuspectRequest, now: number): void => {
    const answers = answersOf(name, now) + 1;
    recentAnswers.delete(name);
    recentAnswers.set(name, { answers, at: now });
    dropOldest(recentAnswers, { maxSize: MAX_ANSWERED_REQUESTS, cutoff: now - ANSWER_TTL });
  };
  const countTotals = ({ name, key }: SuspectRequest): SuspectTotals => {
    const own = ownCounts.get(name) ?? { crashes: 0, answers: 0 };
    const peerCounts = peerCountsOf(key) ?? NO_COUNTS;
    return {
      crashes: own.crashes + peerCounts.failures,
      answers: own.answers + peerCounts.runs - peerCounts.failures,
      isOwn: own.crashes > 0,
    };
  };
  const totalsOf = (suspect: SuspectRequest): SuspectTotals => {
    const counted = countTotals(suspect);
    const restoredCrashes = restored.get(suspect.name);
    if (restoredCrashes === undefined) return counted;
    restoredCrashes.includedCrashes = Math.min(restoredCrashes.includedCrashes, counted.crashes);
    const crashes = restoredCrashes.crashes + counted.crashes - restoredCrashes.includedCrashes;
    return { ...counted, crashes: Math.max(crashes, counted.crashes) };
  };
  const isProof = ({ crashes, answers }: SuspectTotals): boolean =>
    crashes >= MIN_PROVING_CRASHES * (1 + answers);
  const isProven = (suspect: SuspectRequest, now: number): boolean => {
    const { name } = suspect;
    const total = totalsOf(suspect);
    const previous = provenFindings.get(name);
    if (isProof(total)) {
      const { crashes, isOwn } = total;
      provenFindings.set(name, { suspect, since: previous?.since ?? now, crashes, isOwn });
      return true;
    }
    if (previous === undefined) return false;
    // The instances that counted may have ended. A later answer clears the request; missing counts
    // do not.
    if (total.answers === 0 && now - previous.since < PROOF_TTL) return true;
    provenFindings.delete(name);
    return false;
  };
  return {
    recordCrash: (suspect, now) => {
      touchCounts(suspect, now).crashes++;
      dropOldest(ownCounts, { maxSize: MAX_SUSPECTS, cutoff: now - CRASH_TTL });
    },
    recordAnswer: (suspect, now) => {
      const isSuspected =
        ownCounts.has(suspect.name) ||
        restored.has(suspect.name) ||
        (peerCountsOf(suspect.key)?.failures ?? 0) > 0;
      if (isSuspected) touchCounts(suspect, now).answers++;
      rememberAnswer(suspect, now);
    },
    isProven: (suspect, now) => {
      // Other instances lost workers with a request that was answered here. Report the answers to
      // them before the request is considered the cause.
      const isNew = !ownCounts.has(suspect.name) && answersOf(suspect.name, now) > 0;
      if (isNew && (peerCountsOf(suspect.key)?.failures ?? 0) > 0) touchCounts(suspect, now);
      return isProven(suspect, now);
    },
    hasAnswer: (suspect) => countTotals(suspect).answers > 0,
    restore: (suspect, crashes) => {
      restored.set(suspect.name, {
        crashes: Math.max(crashes, totalsOf(suspect).crashes),
        includedCrashes: countTotals(suspect).crashes,
      });
    },
    forget: (name) => {
      ownCounts.delete(name);
      provenFindings.delete(name);
      restored.delete(name);
    },
    listProven: (now) => {
      const suspects = [...ownCounts.values(), ...provenFindings.values()].map(
        ({ suspect }) => suspect,
      );
      for (const suspect of suspects) isProven(suspect, now);
      return [...provenFindings.values()];
    },
    listSuspected: (now) => {
      const found = [...ownCounts.values()].flatMap(({ suspect }) => {
        const { crashes, answers, isOwn } = totalsOf(suspect);
        if (!isOwn || answers > 0 || crashes !== MIN_PROVING_CRASHES - 1) return [];
        return [{ suspect, crashes, isOwn, since: suspectedSince.get(suspect.name) ?? now }];
      });
      suspectedSince.clear();
      for (const { suspect, since } of found) suspectedSince.set(suspect.name, since);
      return found;
    },
    counts: (now) => {
      dropOldest(ownCounts, { maxSize: MAX_SUSPECTS, cutoff: now - CRASH_TTL });
      return new Map(
        [...ownCounts.values()].map(({ suspect, crashes, answers }) => [
          suspect.key,
          { runs: crashes + answers, failures: crashes },
        ]),
      );
    },
  };
}

/**
 * Removes entries last changed before the given time, and the oldest entries beyond the maximum
 * size.
 */
function dropOldest<T extends { readonly at: number }>(
  entries: Map<string, T>,
  { maxSize, cutoff }: { maxSize: number; cutoff: number },
): void {
  for (const [name, { at }] of entries) {
    if (at >= cutoff && entries.size <= maxSize) return;
    entries.delete(name);
  }
}

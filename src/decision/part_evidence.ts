/**
 * Identifies parts of prompts that crash the workers that answer them.
 *
 * Load: requests of which no two are alike, but whose prompts share a part that crashes every worker
 * that begins to answer it. They come from callers whose other requests are sound, and their other
 * parts are in the prompts of sound requests, too. Symptom: workers that crash one after another,
 * each time during a request that was never sent before.
 *
 * Mechanism: each crash is attributed to all parts of the requests whose answers had hardly begun. A
 * part is the cause if workers have crashed with it several times in a row, and none has answered a
 * request with it in between. The other parts of the same requests are answered in sound requests.
 * Crashes at the same moment count once, since all workers may crash for one other reason. The
 * instances exchange what they have observed, so that each of them counts the same.
 *
 * @module
 */
import type { CrashEvidence, CrashFinding, SuspectRequest } from "./crash_evidence.ts";
import { CRASH_TTL } from "./crash_evidence.ts";

/** What happened to a request with a part in its prompt. */
export enum PartOutcome {
  /** A worker crashed when it had hardly begun to answer. */
  Crash = "crash",
  /** A worker answered. */
  Answer = "answer",
}

/** An observation that instances exchange. */
export interface PartReport {
  /** Unique name of the part. */
  readonly part: string;
  readonly outcome: PartOutcome;
  /** When an instance observed it, in milliseconds since 1970. */
  readonly at: number;
}

/**
 * Evidence about parts of prompts. Of `CrashEvidence`, it uses the time passed to its functions only
 * to tell since when a part has been found.
 */
export interface PartEvidence extends CrashEvidence {
  /** Receives an observation of another instance. */
  receiveReport(report: PartReport): void;
  /** Returns recent observations, also those of other instances, to send to the others. */
  recentReports(): PartReport[];
}

/** Number of crash moments in a row that prove that a part is the cause. */
export const MIN_PROVING_MOMENTS = 4;
/** Crashes within this number of milliseconds count once. */
const MOMENT_LENGTH = 200;
/**
 * Milliseconds without an answer after which a part can be found. Answers at other instances are
 * known here somewhat later than crashes.
 */
const QUIET_TIME = 1_500;
/** Milliseconds for which an observation is sent to other instances, since digests may be lost. */
const REPORT_DURATION = 3_000;
/**
 * Milliseconds after which a reported crash is ignored, since the part may have been forgotten
 * meanwhile. A report takes some digests to arrive.
 */
const MAX_REPORT_AGE = 2 * REPORT_DURATION;
/**
 * Maximum number of parts whose last answer is known, and of suspected parts; the oldest are evicted. More than the longest
 * prompts have.
 */
const MAX_ANSWERED_PARTS = 16_384;
const MAX_SUSPECTS = 8_192;
/** Maximum number of parts whose observations are sent, some 20 bytes each: those with most crashes. */
const MAX_REPORTED_PARTS = 512;
const NEVER = -Infinity;

/** Observations of a part with which workers have crashed. Times are in milliseconds since 1970. */
interface PartHistory {
  readonly suspect: SuspectRequest;
  /** The moments of crashes since the last answer, in order. */
  moments: number[];
  answeredAt: number;
  /** Whether a worker crashed during a run that this instance started. */
  isOwn: boolean;
  changedAt: number;
  /** Moments that the store's record adds to those known here. */
  restored: number;
  /** Moments in the record that was restored. */
  restoredFrom: number;
}

/**
 * Creates evidence without any observations.
 *
 * @param time Returns the time that all instances agree on, in milliseconds since 1970.
 */
export function createPartEvidence(time: () => number): PartEvidence {
  const histories = new Map<string, PartHistory>();
  /** When this instance last observed an answer, by part. */
  const ownAnswers = new Map<string, number>();
  const foundSince = new Map<string, number>();

  const touch = (suspect: SuspectRequest): PartHistory => {
    const { name } = suspect;
    const found = histories.get(name) ?? {
      suspect,
      moments: [],
      answeredAt: ownAnswers.get(name) ?? NEVER,
      isOwn: false,
      changedAt: time(),
      restored: 0,
      restoredFrom: 0,
    };
    // Moves the entry to the end of the map, so that it is evicted last.
    histories.delete(name);
    histories.set(name, found);
    found.changedAt = time();
    evict(histories, MAX_SUSPECTS);
    return found;
  };
  const addCrash = (history: PartHistory, at: number): void => {
    if (at <= history.answeredAt) return;
    if (history.moments.some((moment) => Math.abs(moment - at) < MOMENT_LENGTH)) return;
    history.moments = [...history.moments, at].sort((a, b) => a - b);
  };
  const addAnswer = (history: PartHistory, at: number): void => {
    if (at <= history.answeredAt) return;
    history.answeredAt = at;
    history.moments = history.moments.filter((moment) => moment > at);
    history.restored = 0;
  };
  const count = ({ moments, restored }: PartHistory): number => moments.length + restored;
  const isFound = (history: PartHistory): boolean =>
    count(history) >= MIN_PROVING_MOMENTS && time() - history.answeredAt >= QUIET_TIME;
  const finding = (history: PartHistory, now: number): CrashFinding => {
    const { suspect, isOwn } = history;
    const since = foundSince.get(suspect.name) ?? now;
    foundSince.set(suspect.name, since);
    return { suspect, crashes: count(history), isOwn, since };
  };
  const expire = (): void => {
    for (const [name, { changedAt }] of histories) {
      if (time() - changedAt > CRASH_TTL) histories.delete(name);
    }
    for (const name of foundSince.keys()) if (!histories.has(name)) foundSince.delete(name);
  };
  return {
    recordCrash: (suspect) => {
      const history = touch(suspect);
      history.isOwn = true;
      addCrash(history, time());
    },
    recordAnswer: ({ name }) => {
      ownAnswers.delete(name);
      ownAnswers.set(name, time());
      evict(ownAnswers, MAX_ANSWERED_PARTS);
      const history = histories.get(name);
      if (history !== undefined) addAnswer(touch(history.suspect), time());
    },
    isProven: ({ name }) => {
      const history = histories.get(name);
      return history !== undefined && isFound(history);
    },
    hasAnswer: ({ name }) => {
      const history = histories.get(name);
      return history !== undefined && history.answeredAt !== NEVER && count(history) === 0;
    },
    restore: (suspect, moments) => {
      const known = histories.get(suspect.name);
      if (known !== undefined && known.restoredFrom >= moments) return;
      const history = known ?? touch(suspect);
      history.restoredFrom = moments;
      history.restored = Math.max(0, moments - history.moments.length);
    },
    forget: (name) => {
      histories.delete(name);
      foundSince.delete(name);
    },
    listProven: (now) => {
      expire();
      return [...histories.values()].filter(isFound).map((history) => finding(history, now));
    },
    listSuspected: (now) =>
      [...histories.values()]
        .filter((history) => history.isOwn && count(history) === MIN_PROVING_MOMENTS - 1)
        .map((history) => finding(history, now)),
    counts: () => new Map(),
    receiveReport: ({ part, outcome, at: reportedAt }) => {
      // The clocks of the instances differ slightly; nothing was observed in the future.
      const at = Math.min(reportedAt, time());
      const known = histories.get(part);
      if (outcome === PartOutcome.Answer) {
        if (known !== undefined && at > known.answeredAt) addAnswer(touch(known.suspect), at);
        return;
      }
      if (at <= time() - MAX_REPORT_AGE) return;
      const before = known?.moments.length ?? 0;
      const history = known ?? touch({ name: part, key: 0 });
      addCrash(history, at);
      if (history.moments.length !== before) history.changedAt = time();
    },
    recentReports: () => {
      const from = time() - REPORT_DURATION;
      const changed = [...histories.values()].filter(({ changedAt }) => changedAt >= from);
      return mostSuspected(changed).flatMap(({ suspect, moments, answeredAt }) => {
        const { name: part } = suspect;
        const crashes = moments
          .filter((at) => at >= from)
          .map((at) => ({ part, outcome: PartOutcome.Crash, at }));
        const answer = { part, outcome: PartOutcome.Answer, at: answeredAt };
        return answeredAt >= from ? [...crashes, answer] : crashes;
      });
    },
  };
}

/** Returns the parts to report. A part that crashes workers is in more prompts than others that nobody answers. */
function mostSuspected(histories: readonly PartHistory[]): readonly PartHistory[] {
  if (histories.length <= MAX_REPORTED_PARTS) return histories;
  return histories
    .toSorted((a, b) => b.moments.length - a.moments.length)
    .slice(0, MAX_REPORTED_PARTS);
}

function evict(entries: Map<string, unknown>, maxSize: number): void {
  for (const name of entries.keys()) {
    if (entries.size <= maxSize) return;
    entries.delete(name);
  }
}

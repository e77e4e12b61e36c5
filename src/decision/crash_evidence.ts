/**
 * Which requests crash the workers that run them.
 *
 * Load that it answers: a single request that ends every worker that begins to run it, and that its caller sends again
 * and again under new ids, to any instance. Each worker takes down what runs beside it, and that is sent again too. One
 * would notice workers that end one after the other while the load is as usual, and requests of all kinds that fail.
 *
 * What runs at a worker that ends was there by chance or is the reason, and one crash doesn't tell which. So it is
 * counted over all instances under how many workers a request was lost, against how often it was answered lately. The
 * reason is never answered, while what is there by chance is answered at the next worker. What much is asked for may lose
 * several workers in a moment, and its answers of the moments before speak for it.
 *
 * What was counted ends with the instances that counted it. So what is suspected can be recalled from where it was
 * written down: crashes that are counted later come on top of it.
 *
 * @module
 */
import type { RunCounts } from "./worker_health.ts";

/** A request by what its caller asks for, whatever its id. */
export interface Suspect {
  /** Tells it from all others. */
  readonly name: string;
  /** Under this number instances tell each other what they have counted. */
  readonly key: number;
}

/** A request under which several workers have ended. */
export interface CrashFinding {
  readonly suspect: Suspect;
  /** Workers that ended while they ran it, over all instances. */
  readonly crashes: number;
  /** Whether this instance has lost a worker with it. */
  readonly isOwn: boolean;
  /** When it was found, in the clock's milliseconds. */
  readonly since: number;
}

/** What one instance knows of requests and crashes. */
export interface CrashEvidence {
  /** A worker ended while it ran the request. */
  crashed(suspect: Suspect, now: number): void;
  /** A worker gave the request a whole answer. */
  answered(suspect: Suspect, now: number): void;
  /** Whether the request is known to crash workers. */
  isProven(suspect: Suspect, now: number): boolean;
  /** Whether any instance has had an answer of the request since workers crashed under it. */
  isAnswered(suspect: Suspect): boolean;
  /** So many workers are known to have ended under the request by now, also if those that counted them have ended. */
  recall(suspect: Suspect, crashes: number): void;
  /** Forgets all that was counted of a request here, or recalled. */
  forget(name: string): void;
  /** All that are known to crash workers. */
  proven(now: number): CrashFinding[];
  /** All that will be known to with the next crash, and have lost a worker here. */
  suspected(now: number): CrashFinding[];
  /** What this instance has counted, by key, for the others: workers lost and answers, and the workers lost of them. */
  counts(now: number): ReadonlyMap<number, RunCounts>;
}

/** A request is proven by so many crashes where it was never answered, and by as many more for each answer. */
export const PROVING_CRASHES = 3;
/** Milliseconds for which an answer speaks for a request that loses workers later. */
const ANSWER_LIFE = 10_000;
/** Milliseconds for which a crash is remembered after the last one. */
export const CRASH_LIFE = 600_000;
/** Milliseconds for which a request stays proven though those that counted its crashes have gone. */
const PROOF_LIFE = 60_000;
/** Requests whose answers, and whose crashes, are remembered; the oldest make room. */
const GREATEST_ANSWERED = 4_096;
const GREATEST_SUSPECTS = 512;

const NOTHING: RunCounts = { runs: 0, failures: 0 };

interface Counted {
  readonly suspect: Suspect;
  crashes: number;
  answers: number;
  at: number;
}

interface Answered {
  answers: number;
  at: number;
}

interface Recalled {
  readonly crashes: number;
  /** Crashes that were counted when it was recalled, and are among them; fewer once those that counted them have ended. */
  counted: number;
}

interface Total {
  readonly crashes: number;
  readonly answers: number;
  readonly isOwn: boolean;
}

/**
 * Makes evidence of nothing.
 *
 * @param othersOf What all other instances have counted under a key; undefined where they have counted nothing.
 */
export function createCrashEvidence(
  othersOf: (key: number) => RunCounts | undefined,
): CrashEvidence {
  /** By name, what this instance tells the others of. */
  const own = new Map<string, Counted>();
  /** By name, the answers of the last moments. */
  const lately = new Map<string, Answered>();
  const known = new Map<string, CrashFinding>();
  const recalled = new Map<string, Recalled>();
  /** By name, when what isn't proven yet was first one crash from it. */
  const suspectedSince = new Map<string, number>();

  const countedOf = (suspect: Suspect, now: number): Counted => {
    const found = own.get(suspect.name) ?? {
      suspect,
      crashes: 0,
      answers: answersOf(suspect.name, now),
      at: now,
    };
    // The one that changed last is the last to make room.
    own.delete(suspect.name);
    own.set(suspect.name, found);
    found.at = now;
    return found;
  };
  const answersOf = (name: string, now: number): number => {
    const found = lately.get(name);
    return found === undefined || now - found.at > ANSWER_LIFE ? 0 : found.answers;
  };
  const noteAnswer = ({ name }: Suspect, now: number): void => {
    const answers = answersOf(name, now) + 1;
    lately.delete(name);
    lately.set(name, { answers, at: now });
    dropOldest(lately, { most: GREATEST_ANSWERED, before: now - ANSWER_LIFE });
  };
  const countedOn = ({ name, key }: Suspect): Total => {
    const mine = own.get(name) ?? { crashes: 0, answers: 0 };
    const others = othersOf(key) ?? NOTHING;
    return {
      crashes: mine.crashes + others.failures,
      answers: mine.answers + others.runs - others.failures,
      isOwn: mine.crashes > 0,
    };
  };
  const totalOf = (suspect: Suspect): Total => {
    const counted = countedOn(suspect);
    const before = recalled.get(suspect.name);
    if (before === undefined) return counted;
    before.counted = Math.min(before.counted, counted.crashes);
    const crashes = before.crashes + counted.crashes - before.counted;
    return { ...counted, crashes: Math.max(crashes, counted.crashes) };
  };
  const isEnough = ({ crashes, answers }: Total): boolean =>
    crashes >= PROVING_CRASHES * (1 + answers);
  const isProven = (suspect: Suspect, now: number): boolean => {
    const { name } = suspect;
    const total = totalOf(suspect);
    const before = known.get(name);
    if (isEnough(total)) {
      const { crashes, isOwn } = total;
      known.set(name, { suspect, since: before?.since ?? now, crashes, isOwn });
      return true;
    }
    if (before === undefined) return false;
    // Those that counted may have ended. An answer since then speaks for it; silence speaks for nothing.
    if (total.answers === 0 && now - before.since < PROOF_LIFE) return true;
    known.delete(name);
    return false;
  };
  return {
    crashed: (suspect, now) => {
      countedOf(suspect, now).crashes++;
      dropOldest(own, { most: GREATEST_SUSPECTS, before: now - CRASH_LIFE });
    },
    answered: (suspect, now) => {
      const isSuspected =
        own.has(suspect.name) ||
        recalled.has(suspect.name) ||
        (othersOf(suspect.key)?.failures ?? 0) > 0;
      if (isSuspected) countedOf(suspect, now).answers++;
      noteAnswer(suspect, now);
    },
    isProven: (suspect, now) => {
      // Others have lost workers with what was answered here: they are told so before it is taken for the reason.
      const isNew = !own.has(suspect.name) && answersOf(suspect.name, now) > 0;
      if (isNew && (othersOf(suspect.key)?.failures ?? 0) > 0) countedOf(suspect, now);
      return isProven(suspect, now);
    },
    isAnswered: (suspect) => countedOn(suspect).answers > 0,
    recall: (suspect, crashes) => {
      recalled.set(suspect.name, {
        crashes: Math.max(crashes, totalOf(suspect).crashes),
        counted: countedOn(suspect).crashes,
      });
    },
    forget: (name) => {
      own.delete(name);
      known.delete(name);
      recalled.delete(name);
    },
    proven: (now) => {
      const suspects = [...own.values(), ...known.values()].map(({ suspect }) => suspect);
      for (const suspect of suspects) isProven(suspect, now);
      return [...known.values()];
    },
    suspected: (now) => {
      const found = [...own.values()].flatMap(({ suspect }) => {
        const { crashes, answers, isOwn } = totalOf(suspect);
        if (!isOwn || answers > 0 || crashes !== PROVING_CRASHES - 1) return [];
        return [{ suspect, crashes, isOwn, since: suspectedSince.get(suspect.name) ?? now }];
      });
      suspectedSince.clear();
      for (const { suspect, since } of found) suspectedSince.set(suspect.name, since);
      return found;
    },
    counts: (now) => {
      dropOldest(own, { most: GREATEST_SUSPECTS, before: now - CRASH_LIFE });
      return new Map(
        [...own.values()].map(({ suspect, crashes, answers }) => [
          suspect.key,
          { runs: crashes + answers, failures: crashes },
        ]),
      );
    },
  };
}

/** Drops what was last changed before a moment, and the oldest beyond a number. */
function dropOldest<T extends { readonly at: number }>(
  entries: Map<string, T>,
  { most, before }: { most: number; before: number },
): void {
  for (const [name, { at }] of entries) {
    if (at >= before && entries.size <= most) return;
    entries.delete(name);
  }
}

import { createChangeLog } from "./change_log.ts";
import type { Roster, RosterEntry } from "./digest.ts";
import { RETAINED_ROUNDS } from "./count_log.ts";

/**
 * Records the live instances by round, so that each receiver can be sent what it has not
 * acknowledged.
 */
export interface RosterLog {
  /** Records the live instances of a round. Round numbers start at 1 and increase. */
  record(live: readonly RosterEntry[], round: number): void;
  /**
   * Returns the changes after a round, or a complete roster if the round is 0; undefined before the
   * first recorded round.
   */
  since(round: number): Roster | undefined;
}

/** Creates a log without any recorded round. */
export function createRosterLog(): RosterLog {
  const log = createChangeLog<number, RosterEntry | undefined>({
    tombstone: undefined,
    equals: isSame,
  });
  let lastRound = 0;
  return {
    record: (live, round) => {
      lastRound = round;
      log.record(new Map(live.map((entry) => [entry.session, entry])), round);
      log.prune(round - RETAINED_ROUNDS);
    },
    since: (since) => {
      if (lastRound === 0) return undefined;
      const changes = [...log.since(since)];
      return {
        isSnapshot: since === 0,
        live: changes.flatMap(([, entry]) => (entry === undefined ? [] : [entry])),
        removedSessions: changes.flatMap(([session, entry]) =>
          entry === undefined ? [session] : [],
        ),
      };
    },
  };
}

function isSame(a: RosterEntry | undefined, b: RosterEntry | undefined): boolean {
  return a?.ready === b?.ready && a?.reachesStore === b?.reachesStore && a?.peers === b?.peers;
}

import { createChangeLog } from "./change_log.ts";
import type { Roster, RosterEntry } from "./digest.ts";
import { REMEMBERED_ROUNDS } from "./own_news.ts";

/**
 * Records the live instances by round, so that each receiver can be sent what it has not
 * acknowledged.
 */
export interface RosterNews {
  /** Records the live instances of a round. Round numbers start at 1 and increase. */
  note(there: readonly RosterEntry[], round: number): void;
  /**
   * Returns the changes after a round, or a complete roster if the round is 0; undefined before the
   * first recorded round.
   */
  since(round: number): Roster | undefined;
}

/** Creates a log without any recorded round. */
export function createRosterNews(): RosterNews {
  const log = createChangeLog<number, RosterEntry | undefined>({ gone: undefined, equals: isSame });
  let last = 0;
  return {
    note: (there, round) => {
      last = round;
      log.note(new Map(there.map((entry) => [entry.session, entry])), round);
      log.forgetGone(round - REMEMBERED_ROUNDS);
    },
    since: (since) => {
      if (last === 0) return undefined;
      const changes = [...log.since(since)];
      return {
        isWhole: since === 0,
        there: changes.flatMap(([, entry]) => (entry === undefined ? [] : [entry])),
        gone: changes.flatMap(([session, entry]) => (entry === undefined ? [session] : [])),
      };
    },
  };
}

function isSame(a: RosterEntry | undefined, b: RosterEntry | undefined): boolean {
  return a?.ready === b?.ready && a?.reachesStore === b?.reachesStore && a?.peers === b?.peers;
}

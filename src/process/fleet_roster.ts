import type { Roster, RosterEntry } from "./digest.ts";

/** Instances that other instances report as live. */
export interface FleetRoster {
  /**
   * Applies a roster from a digest.
   *
   * @param reporter The sender's session. `isAuthoritative` is set if the sender receives digests
   * from the listed instances itself, or from relays that do.
   */
  receive(
    reporter: { readonly session: number; readonly isAuthoritative: boolean },
    roster: Roster,
  ): void;
  /**
   * Starts the expiry of reporters that are not among `sessions`. Returns whether the roster has
   * changed.
   */
  retainReporters(sessions: ReadonlySet<number>, now: number): boolean;
  /** Discards everything that a reporter has sent. */
  forget(reporter: number): void;
  /**
   * Returns all reported instances by address.
   *
   * Only authoritative entries may be forwarded. If two instances forwarded what they had received
   * from each other, they would keep failed instances in the roster.
   */
  list(options: {
    /** Reports whether this instance has itself lost contact with the instance at an address. */
    readonly isLost: (address: string) => boolean;
    readonly onlyAuthoritative: boolean;
  }): ReadonlyMap<string, RosterEntry>;
}

/**
 * Milliseconds for which a lost reporter's entries are kept. If all reporters of a zone fail at
 * once, the zone needs the entries to select new relays.
 */
const LOST_REPORTER_TTL = 3_000;

interface Reporter {
  readonly isAuthoritative: boolean;
  readonly entries: Map<number, RosterEntry>;
  lostAt: number | undefined;
}

/** Creates an empty roster. */
export function createFleetRoster(): FleetRoster {
  /** Reporters by session. */
  const reporters = new Map<number, Reporter>();
  return {
    receive: (
      { session: reporterSession, isAuthoritative },
      { isSnapshot, live, removedSessions },
    ) => {
      const previous = isSnapshot ? undefined : reporters.get(reporterSession)?.entries;
      const entries = previous ?? new Map<number, RosterEntry>();
      for (const entry of live) entries.set(entry.session, entry);
      for (const session of removedSessions) entries.delete(session);
      reporters.set(reporterSession, { isAuthoritative, entries, lostAt: undefined });
    },
    retainReporters: (sessions, now) => {
      let changed = false;
      for (const [session, reporter] of reporters) {
        if (sessions.has(session)) {
          reporter.lostAt = undefined;
          continue;
        }
        changed ||= reporter.lostAt === undefined;
        reporter.lostAt ??= now;
        if (now - reporter.lostAt <= LOST_REPORTER_TTL) continue;
        reporters.delete(session);
        changed = true;
      }
      return changed;
    },
    forget: (reporter) => void reporters.delete(reporter),
    list: ({ isLost, onlyAuthoritative }) => {
      const found = new Map<string, RosterEntry>();
      for (const { entries, lostAt, isAuthoritative } of reporters.values()) {
        if (onlyAuthoritative && !isAuthoritative) continue;
        for (const entry of entries.values()) {
          if (lostAt === undefined || !isLost(entry.peers)) found.set(entry.peers, entry);
        }
      }
      return found;
    },
  };
}

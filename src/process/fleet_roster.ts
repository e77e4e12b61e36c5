import type { Roster, RosterEntry } from "./digest.ts";

/** Instances that other instances report as live. */
export interface FleetRoster {
  /**
   * Applies a roster from a digest.
   *
   * @param by The reporter's session. `isAuthoritative` tells whether it receives digests from the
   * listed instances itself, or from relays that do.
   */
  told(by: { readonly session: number; readonly isFirm: boolean }, roster: Roster): void;
  /**
   * Starts the expiry of reporters that are not among `sessions`. Returns whether the roster has
   * changed.
   */
  keepTellers(sessions: ReadonlySet<number>, now: number): boolean;
  /** Discards everything that a reporter has sent. */
  forget(teller: number): void;
  /**
   * Returns all reported instances by address.
   *
   * Only authoritative entries may be forwarded. If two instances forwarded what they had received
   * from each other, they would keep failed instances in the roster.
   */
  list(options: {
    /** Reports whether this instance has itself lost contact with the instance at an address. */
    readonly isLost: (address: string) => boolean;
    readonly onlyFirm: boolean;
  }): ReadonlyMap<string, RosterEntry>;
}

/**
 * Milliseconds for which a lost reporter's entries are kept. If all reporters of a zone fail at
 * once, the zone needs the entries to select new relays.
 */
const KEPT_WORD = 3_000;

interface Teller {
  readonly isFirm: boolean;
  readonly told: Map<number, RosterEntry>;
  lostAt: number | undefined;
}

/** Creates an empty roster. */
export function createFleetRoster(): FleetRoster {
  /** Reporters by session. */
  const tellers = new Map<number, Teller>();
  return {
    told: ({ session: by, isFirm }, { isWhole, there, gone }) => {
      const known = isWhole ? undefined : tellers.get(by)?.told;
      const told = known ?? new Map<number, RosterEntry>();
      for (const entry of there) told.set(entry.session, entry);
      for (const session of gone) told.delete(session);
      tellers.set(by, { isFirm, told, lostAt: undefined });
    },
    keepTellers: (sessions, now) => {
      let changed = false;
      for (const [session, teller] of tellers) {
        if (sessions.has(session)) {
          teller.lostAt = undefined;
          continue;
        }
        changed ||= teller.lostAt === undefined;
        teller.lostAt ??= now;
        if (now - teller.lostAt <= KEPT_WORD) continue;
        tellers.delete(session);
        changed = true;
      }
      return changed;
    },
    forget: (teller) => void tellers.delete(teller),
    list: ({ isLost, onlyFirm }) => {
      const found = new Map<string, RosterEntry>();
      for (const { told, lostAt, isFirm } of tellers.values()) {
        if (onlyFirm && !isFirm) continue;
        for (const entry of told.values()) {
          if (lostAt === undefined || !isLost(entry.peers)) found.set(entry.peers, entry);
        }
      }
      return found;
    },
  };
}

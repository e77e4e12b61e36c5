/**
 * Limits the memory for what a process keeps for its callers, over all of them.
 *
 * Load: many callers that each stay inside the limits of one request but don't finish it, or don't read its answer.
 * Symptom: all together exceed the memory of the machine, and the process is ended with the requests of all callers.
 *
 * Mechanism: everything that is kept counts against one limit. Above it, what belongs to those who hold the most is given
 * up, whoever asks for more: first by client account or address, whichever holds more, then by the other one, then
 * by what a single request holds and for how long.
 *
 * @module
 */

/** Whom something is kept for. */
export interface CallerOrigin {
  /** The address from which the caller connected. It is read only if the limit is exceeded. */
  readonly address: () => string;
  /** The client account; undefined until it is known, and for requests that need none. */
  account: string | undefined;
}

/** What is kept for one request. */
export interface CallerHold {
  /** Number of bytes held. */
  readonly bytes: number;
  /** Sets the number of bytes held. If that exceeds the limit, `release` of some holds is called, possibly of this one. */
  set(bytes: number): void;
  /**
   * Keeps what is held until the hold is closed, from when it can't be released any more.
   *
   * @returns False if its caller keeps too much already, and more for this request than for others.
   */
  keep(): boolean;
  /** Ends the hold. */
  close(): void;
}

/** Something that was given up because the limit was exceeded. */
export interface ReleasedHold {
  readonly address: string;
  readonly account: string | undefined;
  /** Bytes that it held, those of its client account or address, and those of all callers. */
  readonly held: number;
  readonly heldByGroup: number;
  readonly heldByAll: number;
}

/** The memory of a process for its callers. */
export interface CallerMemory {
  /** Number of bytes held. */
  readonly held: number;
  /**
   * Begins a hold of no bytes.
   *
   * @param release Gives up what is held, which must close the hold or lower its bytes. Returns false if that isn't
   * possible now.
   */
  open(origin: CallerOrigin, release: () => boolean): CallerHold;
}

/** Options of {@linkcode createCallerMemory}. */
export interface CallerMemoryOptions {
  /** Bytes that all callers together may hold. */
  readonly limit: number;
  /** Current time in milliseconds. */
  readonly now: () => number;
  readonly onRelease?: (released: ReleasedHold) => void;
}

/** Fraction of the limit to which the bytes are lowered once it is exceeded, so that not every further byte does so. */
const RELEASE_TARGET = 0.9;
/** Fraction of the limit that one client account or address may keep for requests in progress. */
const KEPT_SHARE = 0.5;
/** Bounds of the time for which a hold counts in a comparison, in milliseconds. */
const MIN_AGE = 1_000;
const MAX_AGE = 5_000;

interface Entry {
  readonly origin: CallerOrigin;
  /** When the first of its bytes was held. */
  since: number;
  readonly release: () => boolean;
  bytes: number;
  isKept: boolean;
}

/** What the requests of one client account or address hold. */
interface GroupTotal {
  bytes: number;
  count: number;
}

interface GroupTotals {
  readonly accounts: ReadonlyMap<string, GroupTotal>;
  readonly addresses: ReadonlyMap<string, GroupTotal>;
}

/** By what holds are compared: the larger is given up first. */
interface Rank {
  /** Bytes of the account or of the address, whichever holds more, and of the other one. */
  readonly larger: number;
  readonly smaller: number;
  /** Bytes of the hold, weighted by its age. */
  readonly own: number;
}

/** Creates the memory without any holds. */
export function createCallerMemory({
  limit,
  now,
  onRelease = () => undefined,
}: CallerMemoryOptions): CallerMemory {
  const entries = new Set<Entry>();
  let held = 0;
  let isReleasing = false;

  const set = (entry: Entry, bytes: number): void => {
    if (entry.bytes === 0) entry.since = now();
    held += bytes - entry.bytes;
    entry.bytes = bytes;
  };
  const rankOf = (entry: Entry, totals: GroupTotals): Rank => {
    const { account, address } = entry.origin;
    const byAddress = totals.addresses.get(address())?.bytes ?? 0;
    const byAccount =
      account === undefined ? byAddress : (totals.accounts.get(account)?.bytes ?? 0);
    const age = Math.min(MAX_AGE, Math.max(MIN_AGE, now() - entry.since));
    return {
      larger: Math.max(byAccount, byAddress),
      smaller: Math.min(byAccount, byAddress),
      own: entry.bytes * age,
    };
  };
  const mayKeep = ({ origin, bytes }: Entry): boolean => {
    const { accounts, addresses } = sumGroups([...entries].filter(({ isKept }) => isKept));
    const groups = [accounts.get(origin.account ?? ""), addresses.get(origin.address())];
    return groups.every(
      (group) =>
        group === undefined ||
        group.bytes + bytes <= limit * KEPT_SHARE ||
        bytes < group.bytes / group.count,
    );
  };
  const releaseMost = (): void => {
    const totals = sumGroups(entries);
    const ranked = [...entries]
      .filter(({ bytes }) => bytes > 0)
      .map((entry) => ({ entry, rank: rankOf(entry, totals) }))
      .sort((first, second) => compareRanks(second.rank, first.rank));
    for (const { entry, rank } of ranked) {
      if (held <= limit * RELEASE_TARGET) return;
      const { origin, bytes } = entry;
      const heldByAll = held;
      if (!entry.release()) continue;
      const address = origin.address();
      onRelease({
        address,
        account: origin.account,
        held: bytes,
        heldByGroup: rank.larger,
        heldByAll,
      });
    }
  };
  return {
    get held() {
      return held;
    },
    open: (origin, release) => {
      const entry: Entry = { origin, since: now(), release, bytes: 0, isKept: false };
      entries.add(entry);
      return {
        get bytes() {
          return entry.bytes;
        },
        set: (bytes) => {
          if (!entries.has(entry)) return;
          set(entry, bytes);
          if (held <= limit || isReleasing) return;
          isReleasing = true;
          releaseMost();
          isReleasing = false;
        },
        keep: () => {
          entry.isKept = held <= limit * KEPT_SHARE || mayKeep(entry);
          return entry.isKept;
        },
        close: () => {
          set(entry, 0);
          entries.delete(entry);
        },
      };
    },
  };
}

function sumGroups(entries: Iterable<Entry>): GroupTotals {
  const accounts = new Map<string, GroupTotal>();
  const addresses = new Map<string, GroupTotal>();
  const add = (totals: Map<string, GroupTotal>, name: string, bytes: number): void => {
    const total = totals.get(name) ?? { bytes: 0, count: 0 };
    total.bytes += bytes;
    total.count++;
    totals.set(name, total);
  };
  for (const { origin, bytes } of entries) {
    if (bytes === 0) continue;
    add(addresses, origin.address(), bytes);
    // Requests that need no account don't belong together.
    if (origin.account !== undefined) add(accounts, origin.account, bytes);
  }
  return { accounts, addresses };
}

function compareRanks(first: Rank, second: Rank): number {
  return first.larger - second.larger || first.smaller - second.smaller || first.own - second.own;
}

/**
 * Counts runs by client account and time window over all entry instances.
 *
 * Load: usage has to be reported once and completely, while messages between instances are lost,
 * repeated or reordered and instances crash. Symptom: windows with too few runs, or with runs that
 * are billed twice.
 *
 * Mechanism: every instance counts the runs it starts and sends its growing counts to the others.
 * Counts never decrease, so the larger of two counts from the same instance is the later one, and
 * the order and number of messages do not matter. An instance that crashes loses only what it
 * counted since its last message.
 *
 * @module
 */

/** Number of runs by account name. */
export type AccountCounts = Readonly<Record<string, number>>;

/**
 * Creates an empty object without a prototype, since accounts may have the names of inherited
 * properties.
 */
export function createEmptyCounts(): Record<string, number> {
  return Object.create(null) as Record<string, number>;
}

/** One instance's counts for one window. */
export interface WindowCounts {
  /** Number of the window: the time since 1970 divided by the window length. */
  readonly window: number;
  readonly counts: AccountCounts;
}

/** One account's count in one window. */
export interface AccountCount {
  readonly window: number;
  readonly account: string;
  readonly count: number;
}

/** Groups single counts by window. */
export function countsByWindow(counts: Iterable<AccountCount>): WindowCounts[] {
  const windows = new Map<number, Record<string, number>>();
  for (const { window, account, count } of counts) {
    const windowCounts = windows.get(window) ?? createEmptyCounts();
    windows.set(window, windowCounts);
    windowCounts[account] = count;
  }
  return [...windows].map(([window, windowCounts]) => ({ window, counts: windowCounts }));
}

/** The counts of all instances, as far as they are known here. */
export interface UsageLedger {
  /** Counts a run of the account that started in the window. */
  recordRun(account: string, window: number): void;
  /** Returns this instance's counts for the windows that may still change or be requested. */
  ownCounts(): readonly WindowCounts[];
  /** Merges the counts received from another instance. */
  mergeInstance(incarnation: string, counts: readonly WindowCounts[]): void;
  /**
   * Merges the total of a group of instances whose single counts are not received. Several relays
   * may send the total, each as far as it is known there: the largest one is the latest.
   */
  mergeGroup(group: string, counts: readonly WindowCounts[]): void;
  /** Returns the totals of this instance and of the instances whose single counts are received. */
  groupTotals(): readonly WindowCounts[];
  /** Deletes the counts of other instances, before they are received again in different groups. */
  forgetPeers(): void;
  /** Returns the totals over all instances. */
  total(window: number): AccountCounts;
  /** Deletes all windows before this one and ignores them from now on. */
  forgetBefore(window: number): void;
}

const OWN_KEY = "";

/** Creates an empty ledger. */
export function createUsageLedger(): UsageLedger {
  /** Counts by window and by incarnation (one process of an instance). */
  const windows = new Map<number, Map<string, Record<string, number>>>();
  const countsOf = (window: number, incarnation: string): Record<string, number> => {
    const instances = windows.get(window) ?? new Map<string, Record<string, number>>();
    windows.set(window, instances);
    const counts = instances.get(incarnation) ?? createEmptyCounts();
    instances.set(incarnation, counts);
    return counts;
  };
  let oldest = -Infinity;
  const groups = new Set<string>();
  const mergeCounts: UsageLedger["mergeInstance"] = (incarnation, counts) => {
    for (const { window, counts: received } of counts) {
      if (window < oldest) continue;
      const known = countsOf(window, incarnation);
      for (const [account, count] of Object.entries(received)) {
        known[account] = Math.max(known[account] ?? 0, count);
      }
    }
  };
  const sumOf = (
    window: number,
    isCounted: (incarnation: string) => boolean,
  ): Record<string, number> => {
    const total = createEmptyCounts();
    for (const [incarnation, counts] of windows.get(window) ?? []) {
      if (!isCounted(incarnation)) continue;
      for (const [account, count] of Object.entries(counts)) {
        total[account] = (total[account] ?? 0) + count;
      }
    }
    return total;
  };
  return {
    recordRun: (account, window) => {
      const counts = countsOf(window, OWN_KEY);
      counts[account] = (counts[account] ?? 0) + 1;
    },
    ownCounts: () =>
      [...windows].flatMap(([window, instances]) => {
        const counts = instances.get(OWN_KEY);
        return counts === undefined ? [] : [{ window, counts }];
      }),
    mergeInstance: mergeCounts,
    mergeGroup: (group, counts) => {
      groups.add(group);
      mergeCounts(group, counts);
    },
    groupTotals: () =>
      [...windows.keys()].map((window) => ({
        window,
        counts: sumOf(window, (incarnation) => !groups.has(incarnation)),
      })),
    forgetPeers: () => {
      for (const instances of windows.values()) {
        for (const incarnation of instances.keys()) {
          if (incarnation !== OWN_KEY) instances.delete(incarnation);
        }
      }
    },
    total: (window) => sumOf(window, () => true),
    forgetBefore: (window) => {
      oldest = window;
      for (const other of windows.keys()) if (other < window) windows.delete(other);
    },
  };
}

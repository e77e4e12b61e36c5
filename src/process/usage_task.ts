import { PLATFORM_CALL_TIMEOUT, sleep } from "../interface/index.ts";
import type { Clock, ObjectStore, Platform, RestorableStore } from "../interface/index.ts";
import { sum } from "../decision/index.ts";
import type { AccountCounts, UsageLedger } from "../decision/index.ts";
import {
  MAX_KEPT_WINDOWS,
  usageAfterWrite,
  nextUsageStep,
  parseUsageRecord,
  restoreReports,
} from "../version/index.ts";
import type { KnownUsage, UsageRecord } from "../version/index.ts";
import { createEraSince } from "./era_since.ts";

/** Store key of the record with the final counts of each window. */
const USAGE_KEY = "samphireshore/duty/usage";

/** Dependencies of {@linkcode createUsageTask}. */
export interface UsageTaskParts {
  readonly clock: Clock;
  readonly store: Pick<ObjectStore, "get" | "put"> & RestorableStore;
  readonly platform: Platform;
  readonly ledger: UsageLedger;
  /** Returns the time synchronized across instances, in milliseconds since the Unix epoch. */
  readonly time: () => number;
  /** Length of a reporting window, in milliseconds. */
  readonly windowLength: number;
  /** Maximum delay of a window's report after the end of the window, in milliseconds. */
  readonly lateAfter: number;
  /**
   * Returns the fencing token for a call that may take this many milliseconds. Undefined if this instance doesn't hold
   * the lease for that long.
   */
  readonly fence: (callTime: number) => number | undefined;
  /** Name of this instance, sent with each report. */
  readonly holder: string;
  /** Logs a state change. */
  readonly log: (step: string, fields: Record<string, string | number>) => void;
}

/** A task that reports usage to the platform while this instance holds the lease. */
export interface UsageTask {
  start(): void;
  close(): void;
}

/** Delay after a window's end before its counts are read, in milliseconds: the last counts are still in transit. */
const COUNT_DELAY = 1_500;
/** Interval between two checks for windows that are due, in milliseconds. */
const POLL_INTERVAL = 400;
/**
 * Maximum steps per window and check: read, write and send, and another read and write if another instance wrote in
 * between.
 */
const MAX_STEPS = 5;

/** Maximum difference between the instances' estimates of the time, in milliseconds. */
const TIME_TOLERANCE = 1_000;

/** Creates the task. `usage_report.ts` decides which counts are sent for a window. */
export function createUsageTask(parts: UsageTaskParts): UsageTask {
  const { clock, store, platform, ledger } = parts;
  const reportedWindows = new Set<number>();
  const startedAt = parts.time();
  /** The record last read or written by this instance. A write by another instance appears as a conflict. */
  let known: KnownUsage | undefined;
  /** The record as this instance has last seen it, including reports that the store has lost since. */
  let seen: UsageRecord = { reports: [], era: 0 };
  const eraSince = createEraSince({ clock, era: () => store.era });
  /** The fencing token of the lease, and the time since which this instance has held it. */
  let lease: { readonly fence: number; readonly heldSince: number } | undefined;
  let closed = false;
  const isClosed = (): boolean => closed;

  const windowAt = (time: number): number => Math.floor(time / parts.windowLength);
  const dueWindows = (): number[] => {
    const now = parts.time();
    const last = windowAt(now - COUNT_DELAY) - 1;
    const first = Math.max(
      windowAt(now - parts.windowLength - parts.lateAfter) + 1,
      windowAt(startedAt) - MAX_KEPT_WINDOWS,
    );
    const windows: number[] = [];
    for (let window = first; window <= last; window++)
      if (!reportedWindows.has(window)) windows.push(window);
    return windows;
  };
  const updateLease = (): void => {
    const fence = parts.fence(PLATFORM_CALL_TIMEOUT);
    if (fence === undefined) lease = undefined;
    else if (lease?.fence !== fence) lease = { fence, heldSince: parts.time() };
  };
  /** Whether another instance may have fixed the window's counts before the store was restored. */
  const mayBeLost = (window: number): boolean => {
    const fixedFrom = (window + 1) * parts.windowLength + COUNT_DELAY - TIME_TOLERANCE;
    if (lease !== undefined && lease.heldSince < fixedFrom) return false;
    return fixedFrom <= parts.time() - (clock.now() - eraSince());
  };
  const readRecord = async (): Promise<KnownUsage | undefined> => {
    const found = await store.get(USAGE_KEY);
    if (found.kind === "unavailable") return undefined;
    if (found.kind === "absent") return { version: 0, record: seen };
    const { version, value } = found.object;
    const record = parseUsageRecord(value);
    if (record === undefined) parts.log("usage-record-unreadable", { version });
    return record === undefined ? undefined : restoreReports({ version, record }, seen);
  };
  const writeRecord = async (
    record: UsageRecord,
    expect: number,
  ): Promise<KnownUsage | undefined> => {
    if (parts.fence(PLATFORM_CALL_TIMEOUT) === undefined) return undefined;
    const outcome = await store.put(USAGE_KEY, JSON.stringify(record), { expect });
    return usageAfterWrite(record, outcome.kind === "written" ? outcome.version : undefined);
  };
  const sendReport = async (window: number, counts: AccountCounts): Promise<void> => {
    const fence = parts.fence(PLATFORM_CALL_TIMEOUT);
    if (fence === undefined) return;
    const outcome = await platform.reportUsage({ window, counts }, { holder: parts.holder, fence });
    const runs = sum(Object.values(counts));
    const late = Math.round(parts.time() - (window + 1) * parts.windowLength);
    parts.log("usage-reported", { window, outcome: outcome.kind, runs, late, fence });
    if (outcome.kind === "accepted") reportedWindows.add(window);
  };
  /** Reports a window as far as the store and the platform respond. The next check continues from there. */
  const report = async (window: number): Promise<void> => {
    for (let steps = 0; steps < MAX_STEPS; steps++) {
      const own = { window, counts: ledger.total(window), mayBeLost: mayBeLost(window) };
      const step = nextUsageStep(known, own);
      if (step.kind === "skip") {
        reportedWindows.add(window);
        parts.log("usage-skipped", { window });
        return;
      }
      if (step.kind === "send") {
        await sendReport(window, step.counts);
        return;
      }
      known = await (step.kind === "read" ? readRecord() : writeRecord(step.record, step.expect));
      seen = known?.record ?? seen;
      // The store doesn't respond, or its record is unreadable.
      if (known === undefined && step.kind === "read") return;
    }
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      ledger.forgetBefore(windowAt(parts.time()) - MAX_KEPT_WINDOWS);
      // Also without the lease: only a restore since the last check may have lost anything.
      eraSince();
      updateLease();
      if (lease !== undefined) {
        for (const window of dueWindows()) await report(window);
      }
      await sleep(clock, POLL_INTERVAL);
    }
  };
  return {
    start: () => void run(),
    close: () => {
      closed = true;
    },
  };
}

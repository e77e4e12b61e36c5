import { DUTY_CALL_TIME, sleep } from "../interface/index.ts";
import type { Clock, ObjectStore, Platform } from "../interface/index.ts";
import { sum } from "../decision/index.ts";
import type { AccountCounts, UsageLedger } from "../decision/index.ts";
import { KEPT_WINDOWS, knownAfterFix, nextUsageStep, parseUsageRecord } from "../version/index.ts";
import type { KnownUsage, UsageRecord } from "../version/index.ts";

/** The store's key of the counts that were fixed for reporting. */
const USAGE_KEY = "samphireshore/duty/usage";

/** What the task is made with. */
export interface UsageTaskParts {
  readonly clock: Clock;
  readonly store: Pick<ObjectStore, "get" | "put">;
  readonly platform: Platform;
  readonly ledger: UsageLedger;
  /** The time of day that the instances agree on, in milliseconds since 1970. */
  readonly time: () => number;
  /** Length of a window in milliseconds. */
  readonly windowLength: number;
  /** How long after its end a window's report is still in time, in milliseconds. */
  readonly lateAfter: number;
  /** The fence for a call that may take so many milliseconds; undefined where this instance may not make it. */
  readonly fence: (callTime: number) => number | undefined;
  /** The name under which calls are made. */
  readonly holder: string;
  readonly log: (step: string, fields: Record<string, string | number>) => void;
}

/** The task that reports usage while this instance has the duty. */
export interface UsageTask {
  start(): void;
  close(): void;
}

/** How long after a window's end its counts are taken, in milliseconds: the last runs' counts are on the way. */
const SETTLE_TIME = 1_500;
/** Milliseconds between two looks for windows that are due. */
const LOOK_PERIOD = 400;
/** Reading, fixing and sending, and once more reading and fixing where another instance wrote meanwhile. */
const STEPS_A_LOOK = 5;

/** Makes the task. What it sends of a window is decided in `usage_report.ts`. */
export function createUsageTask(parts: UsageTaskParts): UsageTask {
  const { clock, store, platform, ledger } = parts;
  const done = new Set<number>();
  const startedAt = parts.time();
  /** The record as this instance read or wrote it last; another's write shows as a conflict. */
  let known: KnownUsage | undefined;
  let closed = false;
  const isClosed = (): boolean => closed;

  const windowAt = (time: number): number => Math.floor(time / parts.windowLength);
  const due = (): number[] => {
    const now = parts.time();
    const last = windowAt(now - SETTLE_TIME) - 1;
    const first = Math.max(
      windowAt(now - parts.windowLength - parts.lateAfter) + 1,
      windowAt(startedAt) - KEPT_WINDOWS,
    );
    const windows: number[] = [];
    for (let window = first; window <= last; window++) if (!done.has(window)) windows.push(window);
    return windows;
  };
  const read = async (): Promise<KnownUsage | undefined> => {
    const found = await store.get(USAGE_KEY);
    if (found.kind === "unavailable") return undefined;
    if (found.kind === "absent") return { version: 0, record: { reports: [] } };
    const { version, value } = found.object;
    const record = parseUsageRecord(value);
    if (record === undefined) parts.log("usage-record-unreadable", { version });
    return record === undefined ? undefined : { version, record };
  };
  const fix = async (record: UsageRecord, expect: number): Promise<KnownUsage | undefined> => {
    if (parts.fence(DUTY_CALL_TIME) === undefined) return undefined;
    const outcome = await store.put(USAGE_KEY, JSON.stringify(record), { expect });
    return knownAfterFix(record, outcome.kind === "written" ? outcome.version : undefined);
  };
  const send = async (window: number, counts: AccountCounts): Promise<void> => {
    const fence = parts.fence(DUTY_CALL_TIME);
    if (fence === undefined) return;
    const outcome = await platform.reportUsage({ window, counts }, { holder: parts.holder, fence });
    const runs = sum(Object.values(counts));
    const late = Math.round(parts.time() - (window + 1) * parts.windowLength);
    parts.log("usage-reported", { window, outcome: outcome.kind, runs, late, fence });
    if (outcome.kind === "accepted") done.add(window);
  };
  /** Reports a window, as far as the store and the platform answer; the next look does the rest. */
  const report = async (window: number): Promise<void> => {
    for (let steps = 0; steps < STEPS_A_LOOK; steps++) {
      const step = nextUsageStep(known, { window, counts: ledger.total(window) });
      if (step.kind === "send") {
        await send(window, step.counts);
        return;
      }
      known = await (step.kind === "read" ? read() : fix(step.record, step.expect));
      // The store doesn't answer, or the lease is no longer this instance's.
      if (known === undefined && step.kind === "read") return;
    }
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      ledger.forgetBefore(windowAt(parts.time()) - KEPT_WINDOWS);
      if (parts.fence(DUTY_CALL_TIME) !== undefined) {
        for (const window of due()) await report(window);
      }
      await sleep(clock, LOOK_PERIOD);
    }
  };
  return {
    start: () => void run(),
    close: () => {
      closed = true;
    },
  };
}

import { z } from "zod";
import { DUTY_CALL_TIME, sleep } from "../interface/index.ts";
import type { Clock, ObjectStore, Platform } from "../interface/index.ts";
import type { AccountCounts, UsageLedger } from "../decision/index.ts";

/** The store's key of the counts that were fixed for reporting. */
export const USAGE_KEY = "samphireshore/duty/usage";

const recordSchema = z.object({
  reports: z.array(z.object({ window: z.number(), counts: z.record(z.string(), z.number()) })),
});

type UsageRecord = z.infer<typeof recordSchema>;

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
/** Windows whose fixed counts are kept in the store: what can still be asked for, several times over. */
const KEPT_WINDOWS = 12;

/**
 * Makes the task.
 *
 * Two reports of one window with different counts would be two bills. So a window's counts are first fixed in
 * the store by a conditional write and then sent, and whoever sends them again, this instance or its successor,
 * sends what was fixed. A successor therefore reads the store before it sends anything.
 */
export function createUsageTask(parts: UsageTaskParts): UsageTask {
  const { clock, store, platform, ledger } = parts;
  const done = new Set<number>();
  const startedAt = parts.time();
  /** The record as this instance wrote it last; another's write shows as a conflict. */
  let written: { version: number; record: UsageRecord } | undefined;
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
  /** The counts as the store has them fixed, this window's included; undefined where that can't be had. */
  const fix = async (window: number): Promise<AccountCounts | undefined> => {
    const { version, record } = written ?? (await readRecord()) ?? {};
    if (version === undefined || record === undefined) return undefined;
    const fixed = record.reports.find((report) => report.window === window);
    if (fixed !== undefined) return fixed.counts;
    const counts = ledger.total(window);
    if (parts.fence(DUTY_CALL_TIME) === undefined) return undefined;
    const reports = [...record.reports, { window, counts }].slice(-KEPT_WINDOWS);
    // After a lost answer or a conflict the next look reads what stands.
    written = undefined;
    const outcome = await store.put(USAGE_KEY, JSON.stringify({ reports }), { expect: version });
    if (outcome.kind !== "written") return undefined;
    written = { version: outcome.version, record: { reports } };
    return counts;
  };
  const readRecord = async (): Promise<typeof written> => {
    const read = await store.get(USAGE_KEY);
    if (read.kind === "unavailable") return undefined;
    if (read.kind === "absent") return { version: 0, record: { reports: [] } };
    const record = parseRecord(read.object.value);
    if (record === undefined)
      parts.log("usage-record-unreadable", { version: read.object.version });
    return record === undefined ? undefined : { version: read.object.version, record };
  };
  const report = async (window: number): Promise<void> => {
    const counts = await fix(window);
    const fence = parts.fence(DUTY_CALL_TIME);
    if (counts === undefined || fence === undefined) return;
    const outcome = await platform.reportUsage({ window, counts }, { holder: parts.holder, fence });
    const runs = Object.values(counts).reduce((sum, count) => sum + count, 0);
    const late = Math.round(parts.time() - (window + 1) * parts.windowLength);
    parts.log("usage-reported", { window, outcome: outcome.kind, runs, late, fence });
    if (outcome.kind === "accepted") done.add(window);
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

function parseRecord(value: string): UsageRecord | undefined {
  const parsed = recordSchema.safeParse(JSON.parse(value));
  return parsed.success ? parsed.data : undefined;
}

/**
 * Specification of the usage report, which sends each account's number of runs in a time window to
 * the platform. Two instances both act as the one that reports two windows, the second of which
 * ends later, and receive the windows' runs late. The store loses responses, applies a write late,
 * or is restored from an earlier copy. A window must still be reported with a single count, because
 * two counts would be two bills. The actions call the same functions as the entry instance, so the
 * model checker explores the code that runs in production.
 *
 * @module
 */
import {
  nextUsageStep,
  restoreReports,
  revisionOf,
  storeVersion,
  usageAfterWrite,
} from "../src/version/index.ts";
import type { KnownUsage, UsageRecord, UsageRules } from "../src/version/index.ts";
import type { Specification, Step } from "./checker.ts";

const ACCOUNT = "a";

const NOTHING_SEEN: UsageRecord = { reports: [], era: 0 };

/** Bounds of an exploration of the usage report. */
export interface UsageBounds {
  /** Number of windows. */
  readonly windows: number;
  /** Number of runs in each window. An instance may receive any number of them before it reports. */
  readonly runs: number;
  /** Number of responses that may be lost. */
  readonly lostAnswers: number;
  /** Number of writes that may be applied late. */
  readonly lateWrites: number;
}

/** Bounds within which the usage report is explored. */
export const USAGE_BOUNDS: readonly UsageBounds[] = [
  { windows: 1, runs: 2, lostAnswers: 1, lateWrites: 1 },
  { windows: 2, runs: 1, lostAnswers: 1, lateWrites: 0 },
];

/** A conditional write of the usage record. */
interface Write {
  /** Version that the store must hold for the write to succeed. */
  readonly expect: number;
  readonly record: UsageRecord;
}

/** An instance that may report the window. */
interface Reporter {
  readonly name: string;
  /** Number of runs of each window received so far. */
  readonly receivedRuns: number;
  /** The stored record as last read or written; undefined if it must be read first. */
  readonly knownUsage: KnownUsage | undefined;
  /** The stored record as last seen, including what the store has lost since. */
  readonly seen: UsageRecord;
  /** Number of windows that had ended when this instance noticed the restore; undefined before. */
  readonly endedAtRestore: number | undefined;
}

/** The complete state of the model, as plain data. */
export interface UsageState {
  readonly stored: KnownUsage;
  readonly reporters: readonly Reporter[];
  /** Writes that the store may still apply although the writer has given up waiting. */
  readonly pendingWrites: readonly Write[];
  /** Number of windows that have ended. */
  readonly endedWindows: number;
  /** Distinct reports that the platform has accepted, as `WINDOW:COUNT`. */
  readonly reports: readonly string[];
  /** Number of responses that may still be lost. */
  readonly lostAnswersLeft: number;
  /** Number of writes that may still become late. */
  readonly lateWritesLeft: number;
  /** Number of instance restarts that may still occur. */
  readonly restartsLeft: number;
  /** Whether the store was restored. */
  readonly isRestored: boolean;
}

/**
 * Creates the specification with two instances, one restart and one restore of the store.
 */
export function usageSpecification(
  rules: UsageRules,
  bounds: UsageBounds,
): Specification<UsageState> {
  const reporter = (name: string): Reporter => ({
    name,
    receivedRuns: 0,
    knownUsage: undefined,
    seen: NOTHING_SEEN,
    endedAtRestore: undefined,
  });
  return {
    name: "usage report",
    initial: {
      stored: { version: 0, record: NOTHING_SEEN },
      reporters: [reporter("a"), reporter("b")],
      pendingWrites: [],
      endedWindows: 1,
      reports: [],
      lostAnswersLeft: bounds.lostAnswers,
      lateWritesLeft: bounds.lateWrites,
      restartsLeft: 1,
      isRestored: false,
    },
    steps: (state) => [
      ...endWindow(state, bounds),
      ...restoreStore(state),
      ...state.pendingWrites.map((write) => applyLateWrite(state, write, rules)),
      ...state.reporters.flatMap((one) => reporterSteps(state, one, { rules, bounds })),
    ],
    encode: (state) => JSON.stringify(state),
    invariants: [
      {
        name: "a window is reported with one count",
        holds: ({ reports }) => new Set(reports.map(windowOf)).size === reports.length,
      },
    ],
    // After a restore, a window whose counts may have been lost isn't reported.
    isGoal: ({ reports, isRestored }) => reports.length === bounds.windows || isRestored,
  };
}

function windowOf(report: string): string | undefined {
  return report.split(":")[0];
}

function eraOfStore({ isRestored }: UsageState): number {
  return isRestored ? 1 : 0;
}

/**
 * Returns the stored record after a write, or undefined if the stored version isn't the expected
 * one.
 */
function applyWrite(
  state: UsageState,
  { expect, record }: Write,
  { expectVersion }: UsageRules,
): KnownUsage | undefined {
  const { version } = state.stored;
  if (expectVersion && expect !== version) return undefined;
  const revision = revisionOf(version) + 1;
  return { version: storeVersion({ era: eraOfStore(state), revision }), record };
}

/** Applies a pending write, which has no effect if its expected version is out of date. */
function applyLateWrite(state: UsageState, write: Write, rules: UsageRules): Step<UsageState> {
  const pendingWrites = state.pendingWrites.filter((one) => one !== write);
  const stored = applyWrite(state, write, rules) ?? state.stored;
  return {
    name: "the store applies a delayed write",
    isFault: false,
    next: { ...state, pendingWrites, stored },
  };
}

function endWindow(state: UsageState, { windows }: UsageBounds): Step<UsageState>[] {
  const { endedWindows } = state;
  if (endedWindows === windows) return [];
  const next = { ...state, endedWindows: endedWindows + 1 };
  return [{ name: "the next window ends", isFault: false, next }];
}

/** Removes the record, or replaces it by one with fewer reports. */
function restoreStore(state: UsageState): Step<UsageState>[] {
  const { stored, isRestored } = state;
  if (isRestored) return [];
  const { record } = stored;
  const version = storeVersion({ era: 1, revision: revisionOf(stored.version) });
  const copies: KnownUsage[] = record.reports.map((_, count) => ({
    version,
    record: { ...record, reports: record.reports.slice(0, count) },
  }));
  return [{ version: 0, record: NOTHING_SEEN }, ...copies].map((copy) => ({
    name: `the store is restored from a copy of version ${copy.version} with ${copy.record.reports.length} reports`,
    isFault: true,
    next: { ...state, stored: copy, isRestored: true },
  }));
}

function reporterSteps(
  state: UsageState,
  reporter: Reporter,
  { rules, bounds }: { rules: UsageRules; bounds: UsageBounds },
): Step<UsageState>[] {
  const withChange = (change: Partial<Reporter>, more: Partial<UsageState> = {}): UsageState => ({
    ...state,
    ...more,
    reporters: state.reporters.map((one) => (one === reporter ? { ...one, ...change } : one)),
  });
  const step = (name: string, next: UsageState, isFault = false): Step<UsageState> => ({
    name: `${reporter.name} ${name}`,
    isFault,
    next,
  });
  const { receivedRuns, knownUsage } = reporter;
  const steps: Step<UsageState>[] = [];
  if (receivedRuns < bounds.runs)
    steps.push(step("receives a run", withChange({ receivedRuns: receivedRuns + 1 })));
  if (state.restartsLeft > 0) {
    const restarted = withChange(
      { receivedRuns: 0, knownUsage: undefined, seen: NOTHING_SEEN, endedAtRestore: undefined },
      { restartsLeft: state.restartsLeft - 1 },
    );
    steps.push(step("restarts", restarted, true));
  }
  const writeSteps = (write: Write): Step<UsageState>[] => {
    const { record } = write;
    const uncertain = { knownUsage: usageAfterWrite(record, undefined, rules) };
    const stored = applyWrite(state, write, rules);
    const outcomes = [
      stored === undefined
        ? step("gets its write refused", withChange({ ...uncertain, endedAtRestore }))
        : step(
            "writes",
            withChange(
              {
                knownUsage: usageAfterWrite(record, stored.version, rules),
                seen: record,
                endedAtRestore,
              },
              { stored },
            ),
          ),
    ];
    if (stored !== undefined && state.lostAnswersLeft > 0) {
      const lostAnswersLeft = state.lostAnswersLeft - 1;
      outcomes.push(
        step(
          "writes, but the response is lost",
          withChange(uncertain, { stored, lostAnswersLeft }),
          true,
        ),
      );
    }
    if (state.lateWritesLeft > 0) {
      const pendingWrites = [...state.pendingWrites, write];
      const lateWritesLeft = state.lateWritesLeft - 1;
      outcomes.push(
        step(
          "stops waiting for its write",
          withChange(uncertain, { pendingWrites, lateWritesLeft }),
          true,
        ),
      );
    }
    return outcomes;
  };
  /** What the instance has noticed of the restore after any response of the store. */
  const endedAtRestore = state.isRestored
    ? (reporter.endedAtRestore ?? state.endedWindows)
    : undefined;
  const windowSteps = (window: number): Step<UsageState>[] => {
    const own = {
      window,
      counts: { [ACCOUNT]: receivedRuns },
      mayBeLost: window <= (reporter.endedAtRestore ?? 0),
    };
    const next = nextUsageStep(knownUsage, own, rules);
    switch (next.kind) {
      case "read": {
        const read = restoreReports(state.stored, reporter.seen);
        const change = { knownUsage: read, seen: read.record, endedAtRestore };
        return [step("reads", withChange(change))];
      }
      case "skip":
        return [];
      case "send": {
        const report = `${window}:${next.counts[ACCOUNT] ?? 0}`;
        const reports = [...new Set([...state.reports, report])].sort();
        return [step(`reports ${report}`, withChange({}, { reports }))];
      }
      case "fix":
        return writeSteps(next);
    }
  };
  for (let window = 1; window <= state.endedWindows; window++) steps.push(...windowSteps(window));
  return steps;
}

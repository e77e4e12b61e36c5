/**
 * Reports the usage of each window with one set of counts, whichever instance reports it.
 *
 * Two reports of a window with different counts would bill it twice. Counts grow while messages from other instances
 * arrive, the platform's response to a report may be lost, and a successor has counts of its own. A window's counts are
 * therefore first fixed in the store by a conditional write and then sent. Every later report of that window sends the
 * fixed counts. This holds even if two instances report at the same time.
 *
 * The store may lose fixed counts when it is restored from a copy. The instance that fixed them remembers them. Any
 * other instance doesn't report a window that may have been fixed before the restore: no report of a window is better
 * than two different ones, which would bill it twice. The record contains the store's era in which it was written. In a
 * record of the current one, only windows up to the latest one may be missing for that reason: its writer has made sure
 * of that window, and later windows are fixed later.
 *
 * @module
 */
import { z } from "zod";
import { eraOf } from "./store_version.ts";

const recordSchema = z.object({
  reports: z.array(z.object({ window: z.number(), counts: z.record(z.string(), z.number()) })),
  /** The store's era in which the record was written. */
  era: z.number().int().nonnegative().default(0),
});

/** The counts that were fixed for reporting, one entry per window, the latest last. */
export type UsageRecord = z.infer<typeof recordSchema>;

/** The stored record as this instance last read or wrote it. */
export interface KnownUsage {
  /** The store's version of the record; 0 if there is no record. */
  readonly version: number;
  readonly record: UsageRecord;
}

/** The next step for reporting a window. */
export type UsageStep =
  /** Read the record from the store. */
  | { readonly kind: "read" }
  /** Write the record, if the store still has the version `expect`; if that is 0, only if the store has no record. */
  | { readonly kind: "fix"; readonly expect: number; readonly record: UsageRecord }
  /** Send the fixed counts to the platform. */
  | { readonly kind: "send"; readonly counts: Readonly<Record<string, number>> }
  /** Don't report the window: another instance may have reported other counts, which the store has lost. */
  | { readonly kind: "skip" };

/** A window and its counts as an instance has them now. */
export interface OwnUsage {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
  /** Whether another instance may have fixed the window's counts before the store was restored from a copy. */
  readonly mayBeLost: boolean;
}

/** Rules that the model checker can switch off one at a time to show that each one is needed. */
export interface UsageRules {
  /** Counts are fixed in the store before they are sent. */
  readonly fixFirst: boolean;
  /** The record is written only if the store still has the version that was read. */
  readonly expectVersion: boolean;
  /** After a write that was refused or got no response, the record is read again. */
  readonly readAfterDoubt: boolean;
  /** A window whose fixed counts the store may have lost isn't fixed again. */
  readonly skipLost: boolean;
  /** A record of the current era is complete only after its latest window. */
  readonly afterLatest: boolean;
  /** A new record is written without the window. */
  readonly createFirst: boolean;
}

/** All rules enabled, as in production. */
export const ALL_USAGE_RULES: UsageRules = {
  fixFirst: true,
  expectVersion: true,
  readAfterDoubt: true,
  skipLost: true,
  afterLatest: true,
  createFirst: true,
};

/** The number of windows whose counts stay in the store. It is several times the number that may still be reported. */
export const MAX_KEPT_WINDOWS = 12;

/**
 * Returns the next step for reporting a window.
 *
 * @param known The stored record; undefined if it must be read first.
 */
export function nextUsageStep(
  known: KnownUsage | undefined,
  own: OwnUsage,
  rules: UsageRules = ALL_USAGE_RULES,
): UsageStep {
  const { window, counts } = own;
  if (!rules.fixFirst) return { kind: "send", counts };
  if (known === undefined) return { kind: "read" };
  const { version, record } = known;
  const fixed = record.reports.find((report) => report.window === window);
  if (fixed !== undefined) return { kind: "send", counts: fixed.counts };
  // A creation succeeds also after a restore of the store, which may have lost another instance's record.
  const isNew = version === 0;
  if (isNew && rules.createFirst) return { kind: "fix", expect: 0, record };
  const era = eraOf(version);
  const latest = Math.max(-Infinity, ...record.reports.map((report) => report.window));
  const isComplete = !isNew && record.era === era && (window > latest || !rules.afterLatest);
  if (own.mayBeLost && !isComplete && rules.skipLost) return { kind: "skip" };
  const reports = [...record.reports, { window, counts: { ...counts } }].slice(-MAX_KEPT_WINDOWS);
  return { kind: "fix", expect: version, record: { reports, era } };
}

/**
 * Returns the stored record after this instance has tried to write it, if its state is certain.
 *
 * @param record The record that was to be written.
 * @param version The new version if the store has confirmed the write; undefined after any other outcome.
 * @returns The record, or undefined if it must be read again.
 */
export function usageAfterWrite(
  record: UsageRecord,
  version: number | undefined,
  rules: UsageRules = ALL_USAGE_RULES,
): KnownUsage | undefined {
  if (version !== undefined) return { version, record };
  return rules.readAfterDoubt ? undefined : { version: 0, record };
}

/**
 * Adds the reports that the store has lost to a record that was read from it.
 *
 * @param seen The record as this instance last read or wrote it.
 */
export function restoreReports(read: KnownUsage, seen: UsageRecord): KnownUsage {
  const isStored = (window: number): boolean =>
    read.record.reports.some((report) => report.window === window);
  const lost = seen.reports.filter(({ window }) => !isStored(window));
  const reports = [...read.record.reports, ...lost].sort((a, b) => a.window - b.window);
  const { era } = read.record;
  return { version: read.version, record: { reports: reports.slice(-MAX_KEPT_WINDOWS), era } };
}

/** Parses a usage record from its text in the store; returns undefined if the text is not a valid record. */
export function parseUsageRecord(text: string): UsageRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // The text is not JSON. The caller logs this.
    return undefined;
  }
}

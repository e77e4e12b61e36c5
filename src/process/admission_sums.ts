/**
 * Sums what other instances have admitted for each account.
 *
 * Load: an account that sends several times its quota to a fleet whose relays are replaced, or whose
 * instances have all just started and select relays for the first time. Sums that count from when a
 * relay was first used differ from relay to relay, so that a receiver has to discard the first sum of
 * each. What was admitted in between is then deducted nowhere. Symptom: the account gets much more
 * than its quota in the seconds after a start of the fleet, and after each change of a relay.
 *
 * Mechanism: each instance assigns what it admits to periods of two seconds. The sum of a period is
 * the same at every relay, whenever the relay was selected, as soon as it has the reports of all.
 * Until then it is lower, so a receiver that changes its source keeps the higher one of both sums: nothing
 * is lost, and nothing is counted twice.
 *
 * What was admitted while an instance had no contact isn't counted: both sides reduce their rates
 * for that time, and the account would otherwise be refused for seconds afterwards.
 *
 * @module
 */
import { isRecentPeriod, parseAdmissionKey } from "./admission_period.ts";
import type { AdmissionKey } from "./admission_period.ts";
import type { UpdateSource } from "./update_sources.ts";

/** Amounts that other instances have admitted. Times are in milliseconds of the clock. */
export interface AdmissionSums {
  /** Applies amounts that have changed, or all of a source. */
  receive(
    source: Pick<UpdateSource, "id" | "subject">,
    report: AdmissionReport,
    time: ReportTime,
  ): void;
  /** Keeps the sums as lower bounds and forgets their parts, since other sources follow. */
  changeSources(now: number): void;
  /** Returns the sums of the latest periods, including this instance's own amounts. */
  plus(own: ReadonlyMap<AdmissionKey, number>, time: ReportTime): ReadonlyMap<AdmissionKey, number>;
  /** Returns what all sums have grown by since the start, by account. */
  growth(): ReadonlyMap<string, number>;
}

/** Amounts from a source. */
export interface AdmissionReport {
  readonly admitted: ReadonlyMap<AdmissionKey, number>;
  /** Milliseconds since the sender started. */
  readonly age: number;
}

/** When a report arrived. */
export interface ReportTime {
  readonly now: number;
  /** The present period. */
  readonly period: number;
}

/**
 * Milliseconds after the last report of a subject within which the next one continues it. A failed
 * relay is detected and replaced in less.
 */
const MAX_GAP = 3_000;
/** Uptime in milliseconds below which an instance and its sources may have started together. */
const MAX_START_TIME = 10_000;
/** Milliseconds by which instances that start together differ. */
const START_MARGIN = 1_000;
/** Maximum number of periods by which the present one advances between two reports. */
const MAX_PERIOD_STEP = 2;

/** The amount of a subject in a period. */
interface SubjectAmount {
  /** The source that the amount is from. */
  readonly source: string;
  readonly received: number;
  /** The part that isn't counted. */
  readonly excluded: number;
}

/** What is known of the instances that a source covers. */
interface Subject {
  receivedAt: number;
  readonly amounts: Map<AdmissionKey, SubjectAmount>;
}

/**
 * Creates sums of nothing.
 *
 * @param startedAt When the instance started, in milliseconds of the clock.
 */
export function createAdmissionSums(startedAt: number): AdmissionSums {
  const subjects = new Map<string, Subject>();
  /** Sum of the subjects' amounts. */
  const sums = new Map<AdmissionKey, number>();
  /** The sums before the sources changed. */
  const lowerBounds = new Map<AdmissionKey, number>();
  const grown = new Map<string, number>();
  let changedAt = -Infinity;
  let present: number | undefined;

  const totalOf = (key: AdmissionKey): number =>
    Math.max(sums.get(key) ?? 0, lowerBounds.get(key) ?? 0);
  const forgetAll = (): void => {
    for (const map of [subjects, sums, lowerBounds]) map.clear();
  };
  /** Returns the present period. */
  const advanceTo = ({ now, period }: ReportTime): number => {
    const before = present ?? period;
    // Small corrections of the time of day may return to the period before.
    if (period === before || period === before - 1) return (present = before);
    present = period;
    // The time of day was corrected by much, or nothing has arrived for long.
    if (period < before || period > before + MAX_PERIOD_STEP) forgetAll();
    const maps = [sums, lowerBounds, ...[...subjects.values()].map(({ amounts }) => amounts)];
    for (const map of maps)
      for (const key of map.keys())
        if (!isRecentPeriod(parseAdmissionKey(key).period, period)) map.delete(key);
    for (const [name, { amounts, receivedAt }] of subjects)
      if (amounts.size === 0 && receivedAt < now - MAX_GAP) subjects.delete(name);
    return period;
  };
  /** Whether what a subject reports was admitted while this instance had contact, or since it started. */
  const isCovered = (subject: Subject | undefined, age: number, now: number): boolean => {
    const uptime = now - startedAt;
    const from = now - MAX_GAP;
    return (
      (subject?.receivedAt ?? -Infinity) >= from ||
      changedAt >= from ||
      age <= Math.min(uptime + START_MARGIN, MAX_START_TIME)
    );
  };
  const apply = (
    { amounts }: Subject,
    { key, account }: { readonly key: AdmissionKey; readonly account: string },
    next: SubjectAmount,
  ): void => {
    const before = amounts.get(key);
    const counted = (amount: SubjectAmount | undefined): number =>
      amount === undefined ? 0 : amount.received - amount.excluded;
    const totalBefore = totalOf(key);
    amounts.set(key, next);
    sums.set(key, (sums.get(key) ?? 0) + counted(next) - counted(before));
    const increase = totalOf(key) - totalBefore;
    if (increase !== 0) grown.set(account, (grown.get(account) ?? 0) + increase);
  };
  return {
    receive: ({ id, subject: name }, { admitted, age }, time) => {
      const { now } = time;
      const period = advanceTo(time);
      const known = subjects.get(name);
      const isCounted = isCovered(known, age, now);
      const subject: Subject = known ?? { receivedAt: now, amounts: new Map() };
      subject.receivedAt = now;
      subjects.set(name, subject);
      for (const [key, received] of admitted) {
        const { period: assigned, account } = parseAdmissionKey(key);
        if (!isRecentPeriod(assigned, period)) continue;
        const before = subject.amounts.get(key) ?? { source: id, received: 0, excluded: 0 };
        // A source that has just been selected may not have the reports of all instances yet.
        if (before.source !== id && received < before.received) continue;
        const uncounted = isCounted ? 0 : received - before.received;
        const excluded = before.excluded + uncounted;
        apply(subject, { key, account }, { source: id, received, excluded });
      }
    },
    changeSources: (now) => {
      for (const key of sums.keys()) lowerBounds.set(key, totalOf(key));
      sums.clear();
      subjects.clear();
      // What an instance that has just started receives may have been admitted before.
      if (now - startedAt > MAX_START_TIME) changedAt = now;
    },
    plus: (own, time) => {
      const period = advanceTo(time);
      const recent = new Map<AdmissionKey, number>();
      for (const key of new Set([...sums.keys(), ...lowerBounds.keys()]))
        recent.set(key, totalOf(key));
      for (const [key, amount] of own) {
        if (isRecentPeriod(parseAdmissionKey(key).period, period))
          recent.set(key, (recent.get(key) ?? 0) + amount);
      }
      return recent;
    },
    growth: () => grown,
  };
}

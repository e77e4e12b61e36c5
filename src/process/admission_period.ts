/**
 * Divides the time of day into periods, to which admitted amounts are assigned. Instances exchange
 * the amounts of the latest periods only.
 *
 * @module
 */

/** Identifies the amount that was admitted for an account in a period. */
export type AdmissionKey = string;

/** What an {@linkcode AdmissionKey} identifies. */
export interface PeriodAccount {
  /** Number of the period since 1970. */
  readonly period: number;
  readonly account: string;
}

/** Milliseconds of a period. */
const PERIOD_LENGTH = 2_000;
/**
 * Number of periods before the present one whose amounts are exchanged. They cover the time in which
 * a failed relay is detected and replaced.
 */
const RECENT_PERIODS = 2;

/** Returns the period of a time of day in milliseconds. */
export function admissionPeriodAt(time: number): number {
  return Math.floor(time / PERIOD_LENGTH);
}

/** Whether amounts of a period are exchanged in the present one. Times of instances differ a little. */
export function isRecentPeriod(period: number, present: number): boolean {
  return period >= present - RECENT_PERIODS && period <= present + 1;
}

/** Returns the key of an account's amount in a period. */
export function admissionKey({ period, account }: PeriodAccount): AdmissionKey {
  return `${period}/${account}`;
}

/** Returns what a key identifies. */
export function parseAdmissionKey(key: AdmissionKey): PeriodAccount {
  const end = key.indexOf("/");
  return { period: Number(key.slice(0, end)), account: key.slice(end + 1) };
}

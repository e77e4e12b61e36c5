import { admissionKey, parseAdmissionKey } from "./admission_period.ts";
import type { AdmissionKey } from "./admission_period.ts";

/** The amounts that this instance has admitted in the latest periods. */
export interface OwnAdmissions {
  /**
   * Assigns what was admitted since the last call to the present period. Returns the amounts of the
   * latest periods.
   *
   * @param admitted Amounts since the instance started, by account. They decrease by refunds.
   */
  record(admitted: ReadonlyMap<string, number>, period: number): ReadonlyMap<AdmissionKey, number>;
}

/**
 * Number of periods that are kept. They must be more than are exchanged, since this instance's own
 * amounts are subtracted from sums that include them.
 */
const KEPT_PERIODS = 6;

/** Creates amounts of an instance that hasn't admitted anything. */
export function createOwnAdmissions(): OwnAdmissions {
  const recorded = new Map<string, number>();
  const amounts = new Map<AdmissionKey, number>();
  /** Refunds belong to requests of the present or earlier periods. Amounts can't be negative. */
  const takeBack = (account: string, refund: number, period: number): number => {
    let rest = refund;
    for (let from = period; from > period - KEPT_PERIODS && rest > 0; from--) {
      const key = admissionKey({ period: from, account });
      const amount = amounts.get(key) ?? 0;
      if (amount === 0) continue;
      const taken = Math.min(amount, rest);
      amounts.set(key, amount - taken);
      rest -= taken;
    }
    return refund - rest;
  };
  return {
    record: (admitted, period) => {
      for (const key of amounts.keys()) {
        const { period: assigned } = parseAdmissionKey(key);
        // A later period remains from before a correction of the time of day.
        if (assigned <= period - KEPT_PERIODS || assigned > period + 1) amounts.delete(key);
      }
      for (const [account, total] of admitted) {
        const before = recorded.get(account) ?? 0;
        const increase = total - before;
        if (increase === 0) continue;
        const key = admissionKey({ period, account });
        if (increase > 0) amounts.set(key, (amounts.get(key) ?? 0) + increase);
        const recordedChange = increase > 0 ? increase : -takeBack(account, -increase, period);
        recorded.set(account, before + recordedChange);
      }
      return new Map(amounts);
    },
  };
}

/**
 * Limits how many requests one instance may send to a second worker.
 *
 * Load: an outage, or a worker that fails some of its requests. Every failed request that is sent
 * again adds to the load of the other workers. Symptom: more arrivals at the workers than requests,
 * and a service that stays down after the cause is gone.
 *
 * Mechanism: in any window of a few seconds, all instances together may repeat a fraction of a
 * service's requests plus a fixed number. Each instance limits itself to that fraction of its own
 * requests and an equal share of the fixed number. The sum then stays within the total without
 * communication, even while instances cannot reach each other. An idle instance's unused share is
 * lost to the others; this is the price of needing no coordination.
 *
 * @module
 */

/** Limits for repeats over all instances. */
export interface RepeatLimits {
  /** Repeats per request. */
  readonly ratio: number;
  /** Additional repeats per window, over all instances. */
  readonly slack: number;
  /** Window length in milliseconds. */
  readonly window: number;
}

/** Repeat budget of one instance. Times are in milliseconds of the clock. */
export interface RepeatAllowance {
  /** Records that a caller sent a request for the service. */
  requested(service: string, now: number): void;
  /** Takes one repeat. Returns false and takes nothing if the budget is exhausted. */
  take(service: string, now: number): boolean;
  /** Sets the number of instances that share the fixed number of repeats. */
  setMembers(members: number): void;
}

/**
 * Fraction of the budget that is used. The reserve is for sliding windows and for small differences
 * between an instance's count of its requests and the service's count.
 */
const BUDGET_FRACTION = 0.85;

interface Timestamps {
  readonly requests: number[];
  readonly repeats: number[];
}

/** Creates an unused budget. */
export function createRepeatAllowance({ ratio, slack, window }: RepeatLimits): RepeatAllowance {
  const services = new Map<string, Timestamps>();
  let members = 1;
  const timestampsOf = (service: string, now: number): Timestamps => {
    const timestamps = services.get(service) ?? { requests: [], repeats: [] };
    services.set(service, timestamps);
    dropBefore(timestamps.requests, now - window);
    dropBefore(timestamps.repeats, now - window);
    return timestamps;
  };
  return {
    requested: (service, now) => void timestampsOf(service, now).requests.push(now),
    take: (service, now) => {
      const { requests, repeats } = timestampsOf(service, now);
      const allowed = (requests.length * ratio + slack / members) * BUDGET_FRACTION;
      if (repeats.length + 1 > allowed) return false;
      repeats.push(now);
      return true;
    },
    setMembers: (count) => {
      members = Math.max(1, count);
    },
  };
}

/** Removes the times before `cutoff` from an ascending list. */
function dropBefore(timestamps: number[], cutoff: number): void {
  const index = timestamps.findIndex((at) => at >= cutoff);
  if (index !== 0) timestamps.splice(0, index < 0 ? timestamps.length : index);
}

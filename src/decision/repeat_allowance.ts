/**
 * How many requests one instance may send to a second worker.
 *
 * Load that it answers: an outage or a worker that fails part of its requests. Every failed request that is
 * sent again adds to the load of the others. One would notice more arrivals at the workers than requests, and
 * a service that stays down after its cause has gone. All instances together are held to a part of a service's
 * requests plus a fixed number in any window of some seconds.
 *
 * Each instance keeps within that part of its own requests and an equal share of the fixed number: then all
 * together keep within the whole without a word between them, also while they can't reach each other. What
 * an idle instance leaves unused is lost to the others; that is the price of needing no agreement.
 *
 * @module
 */

/** What all instances together may send again. */
export interface RepeatBounds {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats in a window besides, over all instances. */
  readonly slack: number;
  /** Length of a window in milliseconds. */
  readonly window: number;
}

/** The allowance of one instance. */
export interface RepeatAllowance {
  /** A request for the service has come from a caller. */
  requested(service: string, now: number): void;
  /** Takes one repeat; false, and nothing taken, where the allowance is used up. */
  take(service: string, now: number): boolean;
  /** How many instances share the fixed number. */
  setMembers(members: number): void;
}

/** Kept back: windows slide, and an instance's count of its requests and the service's may differ a little. */
const USED_PART = 0.85;

interface Times {
  readonly requests: number[];
  readonly repeats: number[];
}

/** Makes an allowance of which nothing is used. */
export function createRepeatAllowance({ ratio, slack, window }: RepeatBounds): RepeatAllowance {
  const services = new Map<string, Times>();
  let members = 1;
  const timesOf = (service: string, now: number): Times => {
    const times = services.get(service) ?? { requests: [], repeats: [] };
    services.set(service, times);
    dropBefore(times.requests, now - window);
    dropBefore(times.repeats, now - window);
    return times;
  };
  return {
    requested: (service, now) => void timesOf(service, now).requests.push(now),
    take: (service, now) => {
      const { requests, repeats } = timesOf(service, now);
      const allowed = (requests.length * ratio + slack / members) * USED_PART;
      if (repeats.length + 1 > allowed) return false;
      repeats.push(now);
      return true;
    },
    setMembers: (count) => {
      members = Math.max(1, count);
    },
  };
}

/** Drops the times before `from` from a list in ascending order. */
function dropBefore(times: number[], from: number): void {
  const first = times.findIndex((at) => at >= from);
  if (first !== 0) times.splice(0, first < 0 ? times.length : first);
}

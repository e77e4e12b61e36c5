/**
 * Computes the capacity that a service's workers must have.
 *
 * Load: rises, backlogs and the loss of an availability zone, in a noisy demand: a minute of 70
 * requests with lengths as widely spread as those of answers is off its mean by 17 in 100 by chance
 * alone. A plan for the last minute would follow the noise and pay a start-up at the next rise
 * after each dip; a plan for the mean of ten minutes would lag every peak. Symptom: high cost, or
 * late first tokens during every rise.
 *
 * - The demand and its usual deviation are smoothed over about three minutes. A minute that is
 *   above the mean by more than twice the deviation is a rise and replaces the mean at once; a
 *   lower one has a gradual effect.
 * - A rise is extrapolated over one start-up time, at its present rate, because a worker launched
 *   now is available then. The extrapolation adds at most half, because a burst of a few seconds
 *   looks like any rise.
 * - A backlog is to be completed within a start-up time. Launches can't complete it sooner.
 * - Workers are planned at a utilization of 85 in 100. The rest absorbs the randomness of
 *   independent arrivals: with eight or more slots per worker, requests begin to wait for each
 *   other at about this utilization, and raising it further costs as much as it saves.
 * - If the zone with the most capacity is lost at once, the others must still do nine tenths of the
 *   work at full utilization. The remainder, during the following start-up time, is less than the
 *   detached work that waits at any time.
 *
 * @module
 */
import type { SmoothedDemand, ServiceDemand } from "./fleet_view.ts";

/** The required capacity of a service, in tokens of work per second. */
export interface RequiredCapacity {
  /** With all workers available. */
  readonly usual: number;
  /** After the loss of the zone with the most reclaimable capacity. */
  readonly afterZoneLoss: number;
}

/** The fraction of their capacity at which workers are planned to run. */
const TARGET_UTILIZATION = 0.85;
/** The fraction of the demand that must still be served after the loss of a zone. */
const ZONE_LOSS_FRACTION = 0.9;
/** Milliseconds. */
const DEMAND_HALF_LIFE = 120_000;
/** A demand above the mean by more than this many deviations is a rise. */
const RISE_DEVIATIONS = 2;
/** The deviation assumed for the first measurement, as a fraction of the demand. */
const INITIAL_DEVIATION = 0.2;
/** Maximum factor by which an extrapolated rise exceeds the smoothed demand. */
const MAX_EXTRAPOLATION = 1.5;
const MINUTE = 60_000;
/** Milliseconds. A backlog is spread over at least this time, even if workers start faster. */
const MIN_CATCH_UP = 30_000;

/** Updates the smoothed demand to the present. */
export function smoothDemand(
  { arrivalRate }: ServiceDemand,
  { before, now }: { before: SmoothedDemand | undefined; now: number },
): SmoothedDemand {
  if (before === undefined) {
    return { mean: arrivalRate, deviation: arrivalRate * INITIAL_DEVIATION, at: now };
  }
  const retention = 2 ** (-(now - before.at) / DEMAND_HALF_LIFE);
  const difference = arrivalRate - before.mean;
  const deviation = before.deviation * retention + Math.abs(difference) * (1 - retention);
  const isRise = difference > RISE_DEVIATIONS * before.deviation;
  const mean = isRise ? arrivalRate : before.mean + difference * (1 - retention);
  return { mean, deviation, at: now };
}

/** Computes the capacity that a service requires. */
export function requiredCapacity(
  { arrivalRate, previousArrivalRate, waitingWork }: ServiceDemand,
  { smoothed, startUp }: { smoothed: SmoothedDemand; startUp: number },
): RequiredCapacity {
  const change = arrivalRate - Math.max(previousArrivalRate, smoothed.mean - smoothed.deviation);
  const isRise = change > RISE_DEVIATIONS * smoothed.deviation;
  const rise = isRise ? change * (startUp / MINUTE) : 0;
  const predicted = Math.min(smoothed.mean + rise, smoothed.mean * MAX_EXTRAPOLATION);
  const backlog = (waitingWork * 1_000) / Math.max(MIN_CATCH_UP, startUp);
  return {
    usual: predicted / TARGET_UTILIZATION + backlog,
    afterZoneLoss: smoothed.mean * ZONE_LOSS_FRACTION,
  };
}

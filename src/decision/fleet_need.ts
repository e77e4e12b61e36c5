/**
 * How much work a service's workers must be able to do.
 *
 * Load that it answers: rises, backlogs and the loss of an availability zone, in a demand that is noisy: a
 * minute of 70 requests whose lengths spread as widely as answers' do is 17 in 100 difference its mean by chance
 * alone. Planned for the last minute, the fleet would follow the noise, and each dip would be paid for with
 * a start-up at the next rise; planned for the mean of ten minutes, it would lag every peak. One would
 * notice either by the cost, or by late first tokens on the way to every peak.
 *
 * - The demand is smoothed over about three minutes, and its usual deviation with it. A minute that is
 *   more than twice the deviation above is a rise and is taken at once; a lower one only by and by.
 * - A rise is carried on for one start-up, as fast as it came: what is launched now is there then. At most
 *   by half, since a burst of a few seconds looks like any rise.
 * - A backlog is to be gone within a start-up. Sooner can't be had by launching.
 * - Workers are used to 85 in 100: the rest is what independent arrivals need not to wait for each other.
 *   With eight and more places a worker, waiting begins there; each part more costs as much as it saves.
 * - When the fullest zone goes at once, the others must still do nine tenths of the work, fully used. What
 *   is left over for the start-up that follows is less than what waits detached at any time.
 *
 * @module
 */
import type { SmoothedDemand, ServiceDemand } from "./fleet_view.ts";

/** What a service needs, in tokens of work a second. */
export interface RequiredCapacity {
  /** With all workers there. */
  readonly usual: number;
  /** With the zone gone that has the most. */
  readonly afterZoneLoss: number;
}

const TARGET_UTILIZATION = 0.85;
const ZONE_LOSS_FRACTION = 0.9;
const DEMAND_HALF_LIFE = 120_000;
const RISE_DEVIATIONS = 2;
/** The deviation of a demand that nothing is known of, as a part of it. */
const INITIAL_DEVIATION = 0.2;
const MAX_EXTRAPOLATION = 1.5;
const MINUTE = 60_000;
/** Backlogs of fast-starting workers are still spread over so many milliseconds. */
const MIN_CATCH_UP = 30_000;

/** Brings the smoothed demand up to now. */
export function smoothDemand(
  { arriving }: ServiceDemand,
  { before, now }: { before: SmoothedDemand | undefined; now: number },
): SmoothedDemand {
  if (before === undefined) {
    return { mean: arriving, deviation: arriving * INITIAL_DEVIATION, at: now };
  }
  const retention = 2 ** (-(now - before.at) / DEMAND_HALF_LIFE);
  const difference = arriving - before.mean;
  const deviation = before.deviation * retention + Math.abs(difference) * (1 - retention);
  const isRise = difference > RISE_DEVIATIONS * before.deviation;
  const mean = isRise ? arriving : before.mean + difference * (1 - retention);
  return { mean, deviation, at: now };
}

/** Works out what a service needs. */
export function requiredCapacity(
  { arriving, arrivedBefore, waiting }: ServiceDemand,
  { level, startUp }: { level: SmoothedDemand; startUp: number },
): RequiredCapacity {
  const change = arriving - Math.max(arrivedBefore, level.mean - level.deviation);
  const isRise = change > RISE_DEVIATIONS * level.deviation;
  const rise = isRise ? change * (startUp / MINUTE) : 0;
  const predicted = Math.min(level.mean + rise, level.mean * MAX_EXTRAPOLATION);
  const backlog = (waiting * 1_000) / Math.max(MIN_CATCH_UP, startUp);
  return {
    usual: predicted / TARGET_UTILIZATION + backlog,
    afterZoneLoss: level.mean * ZONE_LOSS_FRACTION,
  };
}

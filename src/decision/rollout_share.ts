/**
 * How many requests one instance may send to a version that is still tried.
 *
 * Load that it answers: a version of the workers that turns out bad, at once or at the last moment. Whatever was sent
 * to it is lost or late. One would notice a share of failures that follows the new version's share of the requests, and
 * that is far above what was to be risked where each of many instances, or each holder of the duty in turn, began to
 * count anew.
 *
 * Each instance counts for itself, from when it first knew of the order, and holds the new version's part of what it
 * has sent so far below the bound. Then all together hold it without a word between them, at every moment until the
 * deadline, also where some are cut off or have started again: what one sends later to the old version only makes its
 * part smaller. A few requests besides are shared out over the instances, so that services with little load are tried.
 *
 * What is sent between the end of the order and its deadline counts too, so a part of the bound is kept for it.
 *
 * @module
 */

/** What a version on trial may get of a service's requests between an order and its deadline. */
export interface RolloutBounds {
  /** Its share, over all instances. */
  readonly share: number;
  /** Requests besides, over all instances. */
  readonly slack: number;
  /** Milliseconds within which it gets nothing more after it has shown itself bad. */
  readonly rollbackWithin: number;
}

/** How a version is used while its order runs. */
export enum RolloutPhase {
  /** A few of its workers are given a little of everything. */
  Trial = "trial",
  /** It was found good: everything that the bound leaves room for goes to it, just before the order's end. */
  Switch = "switch",
}

/** The parts of the bound that are used in each phase, summed up; the rest is for after the order's end. */
const PHASE_PARTS: Readonly<Record<RolloutPhase, number>> = {
  [RolloutPhase.Trial]: 0.3,
  [RolloutPhase.Switch]: 0.55,
};
/** The part of the requests besides that is used: an instance that starts again takes its part once more. */
const SLACK_PART = 0.3;
/** The part of an order's time in which the bound's rest is used up where everything goes to the new version. */
const AFTER_END_PART = 0.35;
/** The least time before the deadline at which an order ends, in milliseconds: the store has to take the end. */
const LEAST_MARGIN = 350;
const GREATEST_MARGIN = 2_000;

/** Counts what one instance sends of one service's requests while an order runs. */
export interface RolloutShare {
  /** A request was sent, to the version on trial or not. */
  sent(isTried: boolean): void;
  /** Whether one more may be sent to the version on trial. */
  mayTry(phase: RolloutPhase): boolean;
  /** Sent so far. */
  readonly counts: { readonly all: number; readonly tried: number };
}

/**
 * Makes a count of nothing.
 *
 * @param members How many instances share the requests besides.
 */
export function createRolloutShare(bounds: RolloutBounds, members: () => number): RolloutShare {
  const counts = { all: 0, tried: 0 };
  return {
    sent: (isTried) => {
      counts.all++;
      if (isTried) counts.tried++;
    },
    mayTry: (phase) => {
      const part = PHASE_PARTS[phase] * bounds.share;
      const besides = (bounds.slack * SLACK_PART) / Math.max(1, members());
      return counts.tried + 1 <= counts.all * part + besides;
    },
    counts,
  };
}

/** When an order's last steps are taken, in milliseconds after it was given. */
export interface RolloutTimes {
  /** Everything that the bound leaves room for goes to the new version from here on. */
  readonly switchAt: number;
  /** The order is completed. */
  readonly completeAt: number;
}

/** Plans the last steps of an order: as late as the deadline allows, since a version may turn bad at any moment. */
export function rolloutTimes(duration: number, { share }: RolloutBounds): RolloutTimes {
  const margin = Math.min(
    GREATEST_MARGIN,
    Math.max(LEAST_MARGIN, duration * share * AFTER_END_PART),
  );
  const switching = duration * share * (PHASE_PARTS.switch - PHASE_PARTS.trial);
  const completeAt = duration - margin;
  return { switchAt: completeAt - switching, completeAt };
}

/** How long one round of trials lasts over all instances, in milliseconds. */
const PULSE_PERIOD = 1_600;

/**
 * Says whether the workers on trial are used now.
 *
 * A little of the load on each shows nothing of a version that fails under load. So a few workers are used as the old
 * ones are, all instances at the same moments, and where that would be more than the share, for a part of the time.
 *
 * @param time The time of day that the instances agree on, in milliseconds.
 * @param workers Workers that serve, and those on trial.
 */
export function isTrialOpen(
  time: number,
  bounds: RolloutBounds,
  workers: { base: number; tried: number },
): boolean {
  const full = workers.tried / Math.max(1, workers.base + workers.tried);
  const open = (PHASE_PARTS.trial * bounds.share) / Math.max(full, Number.EPSILON);
  return (time % PULSE_PERIOD) / PULSE_PERIOD < open;
}

/** Workers on trial at once: several, so that one that fails by itself isn't taken for its version. */
const LEAST_TRIED = { many: 4, few: 2 };

/** How many workers are tried where so many serve. */
export function triedWorkers(base: number, { share }: RolloutBounds): number {
  const least = Math.min(LEAST_TRIED.many, Math.max(LEAST_TRIED.few, Math.ceil(base / 2)));
  return Math.max(least, Math.round(base * share * PHASE_PARTS.trial));
}

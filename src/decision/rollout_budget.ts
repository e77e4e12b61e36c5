/**
 * Limits how many requests one instance may send to a version on trial.
 *
 * Load: a version of the workers that turns out to be bad, immediately or at the last moment.
 * Everything sent to it is lost or late. Symptom: a failure rate that follows the new version's
 * share of the requests and far exceeds the accepted risk, for example because many instances, or
 * successive rollout coordinators, each start counting from zero.
 *
 * Mechanism: each instance counts on its own, from the moment it receives the rollout order, and
 * keeps the new version's share of its requests below the limit. All instances together then stay
 * below it without communication, at any time until the deadline, even if some are partitioned or
 * restart: requests sent to the old version later only reduce the share. A few additional requests
 * are divided among the instances, so that services with little load are tried too.
 *
 * Requests sent between the end of the rollout and its deadline count as well, so part of the limit
 * is reserved for them.
 *
 * @module
 */
import type { Random } from "../interface/index.ts";

/**
 * Limits for the requests of a service that a version on trial may receive between a rollout order
 * and its deadline.
 */
export interface RolloutLimits {
  /** The version's maximum share of the requests, over all instances. */
  readonly share: number;
  /** Additional requests, over all instances. */
  readonly slack: number;
}

/** How the new version is used during a rollout. */
export enum RolloutPhase {
  /** A few of its workers receive a small share of all requests. */
  Trial = "trial",
  /**
   * The version was found good: it receives all requests that the limit allows, just before the
   * rollout ends.
   */
  Switch = "switch",
}

/**
 * Fraction of the share that is planned for. The reserve is for differences between the instances'
 * counts and for counts that restart.
 */
const PLANNED_SHARE_FRACTION = 0.85;
/**
 * Fraction of the additional requests that is planned for. A restarted instance uses its part a
 * second time.
 */
const PLANNED_SLACK_FRACTION = 0.45;
/**
 * Time between the end of a rollout and its deadline: a fraction of the rollout's duration, with
 * limits in milliseconds.
 */
const END_MARGIN = { fraction: 0.035, min: 350, max: 700 };
/**
 * Time before the end in which all allowed requests go to the new version while short runs finish
 * at the old workers: a fraction of the rollout's duration, with limits in milliseconds.
 */
const SWITCH_TIME = { fraction: 0.02, min: 150, max: 600 };

/**
 * Fraction of the maximum share that a version receives on trial even in a very short rollout;
 * otherwise it would not be tried at all.
 */
const MIN_TRIAL_FRACTION = 0.15;

/** The last steps of a rollout, and the new version's maximum share until then. */
export interface RolloutSchedule {
  /** When all allowed requests start to go to the new version, in milliseconds after the order. */
  readonly switchAt: number;
  /** When the rollout is completed, in milliseconds after the order. */
  readonly completeAt: number;
  /** The new version's maximum share of all requests so far, by phase. */
  readonly maxShares: Readonly<Record<RolloutPhase, number>>;
}

/**
 * Plans a rollout that lasts `duration` milliseconds. It ends as late as the deadline allows, since
 * a version may start to fail at any moment, and the requests that the new version receives after
 * the end have to stay within the limit too.
 */
export function planRollout(duration: number, { share }: RolloutLimits): RolloutSchedule {
  const margin = clamp(duration * END_MARGIN.fraction, END_MARGIN);
  const switchTime = clamp(duration * SWITCH_TIME.fraction, SWITCH_TIME);
  const maxShare = share * PLANNED_SHARE_FRACTION - margin / duration;
  const trialShare = Math.max(maxShare - switchTime / duration, share * MIN_TRIAL_FRACTION);
  const completeAt = duration - margin;
  return {
    switchAt: completeAt - switchTime,
    completeAt,
    maxShares: {
      [RolloutPhase.Trial]: trialShare,
      [RolloutPhase.Switch]: Math.max(maxShare, trialShare),
    },
  };
}

function clamp(value: number, { min, max }: { min: number; max: number }): number {
  return Math.min(max, Math.max(min, value));
}

/** Counts the requests of one service that one instance sends during a rollout. */
export interface RolloutBudget {
  /** Records a request that was sent, to the version on trial or to the base version. */
  recordSent(isTrial: boolean): void;
  /** Whether another request may be sent to the version on trial. */
  canSendToTrial(phase: RolloutPhase): boolean;
  /**
   * Delay of this instance's start in a trial round, as a fraction from 0 to 1 of the time over
   * which instances start.
   */
  readonly startDelay: number;
  /** Requests sent so far. */
  readonly counts: { readonly all: number; readonly tried: number };
}

/** Options of `createRolloutBudget`. */
export interface RolloutBudgetOptions {
  readonly limits: RolloutLimits;
  readonly schedule: RolloutSchedule;
  /** Returns the number of instances that share the additional requests. */
  readonly memberCount: () => number;
  readonly random: Random;
}

/**
 * Creates a counter that starts at zero.
 *
 * Each of hundreds of instances may send so few requests that its share is less than one. So each
 * instance draws a random fraction of its first request as already used; over all instances the
 * share is correct.
 */
export function createRolloutBudget({
  limits,
  schedule,
  memberCount,
  random,
}: RolloutBudgetOptions): RolloutBudget {
  const initialUsage = random.next();
  const counts = { all: 0, tried: 0 };
  return {
    recordSent: (isTrial) => {
      counts.all++;
      if (isTrial) counts.tried++;
    },
    canSendToTrial: (phase) => {
      const additional = (limits.slack * PLANNED_SLACK_FRACTION) / Math.max(1, memberCount());
      return counts.tried + initialUsage < counts.all * schedule.maxShares[phase] + additional;
    },
    startDelay: initialUsage,
    counts,
  };
}

/**
 * Minimum number of workers on trial in a rollout. There are several, so that one that fails by
 * itself does not decide about its version.
 */
const MIN_TRIAL_WORKERS = 4;
/**
 * Number of trial rounds in a rollout, and the minimum and maximum length of a round in
 * milliseconds.
 */
const ROUNDS = 5;
const ROUND_TIME = { min: 1_600, max: 8_000 };

/** Fraction of a round's active time over which the instances start. */
const START_SPREAD = 0.5;

/** Input for `activeTrialWorkers`. */
export interface TrialContext {
  /** Milliseconds since the rollout was ordered, the same at all instances. */
  readonly elapsed: number;
  /** Duration of the rollout in milliseconds. */
  readonly duration: number;
  /** The maximum share of the version on trial. */
  readonly maxShare: number;
  /** Number of workers of the base version. */
  readonly baseWorkers: number;
  /**
   * This instance's delay at the start of a round, from 0 to 1. Without it, all instances would
   * send their allowed requests at once.
   */
  readonly startDelay: number;
}

/**
 * Returns the workers on trial that receive requests now.
 *
 * A small load on every new worker would not reveal a version that fails under load. So all
 * instances use a few workers at the same time, with as much load as the old ones have. If that
 * would exceed the share, the workers are used for a part of each round only. They take turns, so
 * that the rollout does not depend on one or two of them.
 *
 * @param workers All workers of the version, in an order that is the same at all instances.
 * @returns The IDs of the workers to use; empty outside the active part of a round.
 */
export function activeTrialWorkers(
  workers: readonly string[],
  { elapsed, duration, maxShare, baseWorkers, startDelay }: TrialContext,
): string[] {
  const trialWorkers = workers.slice(
    0,
    Math.max(MIN_TRIAL_WORKERS, Math.ceil(baseWorkers * maxShare)),
  );
  const activeCount = Math.min(
    trialWorkers.length,
    Math.max(1, Math.round(baseWorkers * maxShare)),
  );
  const activeShare = activeCount / Math.max(1, baseWorkers + activeCount);
  const roundTime = clamp(duration / ROUNDS, ROUND_TIME);
  const round = Math.max(0, elapsed) / roundTime;
  const activeFraction = maxShare / Math.max(activeShare, Number.EPSILON);
  const isActive =
    activeFraction >= 1 ||
    (round % 1 < activeFraction && round % 1 >= activeFraction * startDelay * START_SPREAD);
  if (!isActive) return [];
  const first = Math.floor(round) * activeCount;
  return Array.from(
    { length: activeCount },
    (_, index) => trialWorkers[(first + index) % trialWorkers.length] ?? "",
  );
}

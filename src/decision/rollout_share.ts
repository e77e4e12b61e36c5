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
import type { Random } from "../interface/index.ts";

/** What a version on trial may get of a service's requests between an order and its deadline. */
export interface RolloutBounds {
  /** Its share, over all instances. */
  readonly share: number;
  /** Requests besides, over all instances. */
  readonly slack: number;
}

/** How a version is used while its order runs. */
export enum RolloutPhase {
  /** A few of its workers are given a little of everything. */
  Trial = "trial",
  /** It was found good: everything that the bound leaves room for goes to it, just before the order's end. */
  Switch = "switch",
}

/** The part of the bounds that is planned with; the rest is for what instances count differently, or count anew. */
const USED_PART = 0.85;
/** The same of the requests besides: an instance that starts again takes its part once more. */
const USED_SLACK = 0.45;
/** How long before the deadline an order ends, as a part of its time, and within which milliseconds. */
const MARGIN = { part: 0.035, least: 350, most: 700 };
/** How long everything goes to the new version before that: what is short ends at the old workers meanwhile. */
const SWITCHING = { part: 0.02, least: 150, most: 600 };

/** The part of the bound that a version is tried with however short its order is: else nothing would be known of it. */
const LEAST_TRIAL = 0.15;

/** When an order's last steps are taken, and what the new version may get until then. */
export interface RolloutCourse {
  /** Everything that the bound leaves room for goes to the new version from here on: milliseconds after the order. */
  readonly switchAt: number;
  /** The order is completed: milliseconds after it was given. */
  readonly completeAt: number;
  /** The new version's share of all requests so far, by phase. */
  readonly parts: Readonly<Record<RolloutPhase, number>>;
}

/**
 * Plans the course of an order. It ends as late as the deadline allows, since a version may turn bad at any moment, and
 * what it gets after its end has to fit under the bound too.
 */
export function rolloutCourse(duration: number, { share }: RolloutBounds): RolloutCourse {
  const margin = within(duration * MARGIN.part, MARGIN);
  const switching = within(duration * SWITCHING.part, SWITCHING);
  const most = share * USED_PART - margin / duration;
  const trial = Math.max(most - switching / duration, share * LEAST_TRIAL);
  const completeAt = duration - margin;
  return {
    switchAt: completeAt - switching,
    completeAt,
    parts: { [RolloutPhase.Trial]: trial, [RolloutPhase.Switch]: Math.max(most, trial) },
  };
}

function within(value: number, { least, most }: { least: number; most: number }): number {
  return Math.min(most, Math.max(least, value));
}

/** Counts what one instance sends of one service's requests while an order runs. */
export interface RolloutShare {
  /** A request was sent, to the version on trial or not. */
  sent(isTried: boolean): void;
  /** Whether one more may be sent to the version on trial. */
  mayTry(phase: RolloutPhase): boolean;
  /** The part of a round of trials by which this instance begins later than others, from 0 to 1. */
  readonly delay: number;
  /** Sent so far. */
  readonly counts: { readonly all: number; readonly tried: number };
}

/** What a share is counted with. */
export interface RolloutShareParts {
  readonly bounds: RolloutBounds;
  readonly course: RolloutCourse;
  /** How many instances share the requests besides. */
  readonly members: () => number;
  readonly random: Random;
}

/**
 * Makes a count of nothing.
 *
 * Hundreds of instances may each send a few requests only, of which the share is less than one. So each draws which part
 * of its first one it has already; over all of them the share is right.
 */
export function createRolloutShare({
  bounds,
  course,
  members,
  random,
}: RolloutShareParts): RolloutShare {
  const drawn = random.next();
  const counts = { all: 0, tried: 0 };
  return {
    sent: (isTried) => {
      counts.all++;
      if (isTried) counts.tried++;
    },
    mayTry: (phase) => {
      const besides = (bounds.slack * USED_SLACK) / Math.max(1, members());
      return counts.tried + drawn < counts.all * course.parts[phase] + besides;
    },
    delay: drawn,
    counts,
  };
}

/** Workers on trial in an order: several, so that one that fails by itself isn't taken for its version. */
const TRIED_WORKERS = 4;
/** Rounds of trials in an order, and the shortest and longest of them in milliseconds. */
const ROUNDS = 5;
const ROUND = { least: 1_600, most: 8_000 };

/** The part of a round's time over which instances begin. */
const SPREAD = 0.5;

/** What the workers that are used now follow from. */
export interface TrialMoment {
  /** Milliseconds since the order was given, the same at all instances. */
  readonly since: number;
  /** How long the order lasts, in milliseconds. */
  readonly duration: number;
  /** The share that the version on trial may have. */
  readonly part: number;
  /** Workers that serve. */
  readonly base: number;
  /** The part of the round's begin by which the instance waits, from 0 to 1: what all may send would come at once. */
  readonly delay: number;
}

/**
 * The workers on trial that are used now.
 *
 * A little of the load on each shows nothing of a version that fails under load. So a few are used as the old ones are,
 * by all instances in the same moments, and where that would be more than the share, for a part of the time. They take
 * turns, so that the order doesn't go by one or two.
 *
 * @param workers All of the version, in an order that is the same at all instances.
 */
export function workersOnTrial(
  workers: readonly string[],
  { since, duration, part, base, delay }: TrialMoment,
): string[] {
  const chosen = workers.slice(0, Math.max(TRIED_WORKERS, Math.ceil(base * part)));
  const together = Math.min(chosen.length, Math.max(1, Math.round(base * part)));
  const full = together / Math.max(1, base + together);
  const length = within(duration / ROUNDS, ROUND);
  const round = Math.max(0, since) / length;
  const open = part / Math.max(full, Number.EPSILON);
  const isOpen = open >= 1 || (round % 1 < open && round % 1 >= open * delay * SPREAD);
  if (!isOpen) return [];
  const first = Math.floor(round) * together;
  return Array.from(
    { length: together },
    (_, index) => chosen[(first + index) % chosen.length] ?? "",
  );
}

/**
 * Separates short requests from long prompts among the workers of a service.
 *
 * Load: routes with targets of a few hundred milliseconds and routes with long prompts and targets
 * of seconds at the same service, with bursts of long prompts. A long prompt occupies a worker for
 * a large part of the short target, and the instances' load data is a few tenths of a second old. A
 * short request is therefore sent to a worker at which long prompts arrive that its instance
 * doesn't know of. Symptom: first events of short requests that are several times later than
 * expected, at workers that were expected to be nearly idle.
 *
 * Mechanism: long prompts go to some of the service's workers, other prompts to the remaining ones.
 * A request for which its part has no capacity may use all workers, and while there are no long
 * prompts, or other prompts need all workers, there is only one part. The part for
 * long prompts follows from the registered workers and the processing time of long prompts over all
 * instances, so that all instances find the same one without messages about it. Workers are ordered
 * by rendezvous hashing: one that joins or leaves, or a different number, changes the fewest
 * workers, and cached prompts stay useful.
 *
 * @module
 */
import { hashText, mixHashes } from "../version/index.ts";
import type { CountOptions } from "./shared_counts.ts";

/** The subset of a service's workers that a worker belongs to. */
export enum WorkerPart {
  /** Workers for long prompts. */
  LongPrompts = "long-prompts",
  /** Workers for all other prompts. */
  OtherPrompts = "other-prompts",
}

/** What the separation uses of a route. */
export interface IsolatedRoute {
  readonly name: string;
  /** Latency target in milliseconds. */
  readonly latencyTarget: number;
  /** Whether the target is for the first event of a stream, and not for a complete response. */
  readonly deliversEvents: boolean;
}

/** Which prompts of a service are long. */
export interface IsolationRule {
  /** Names of the routes whose callers accept a later first event. */
  readonly relaxedRoutes: ReadonlySet<string>;
  /** Processing time above which a prompt of a relaxed route is long, in milliseconds. */
  readonly longAbove: number;
}

/** A prompt whose part of the workers is to be determined. */
export interface IsolatedPrompt {
  /** Name of its route. */
  readonly route: string;
  /** Milliseconds that the whole prompt takes without a cache. */
  readonly processingTime: number;
}

/**
 * A route is relaxed if its target is this many times the shortest one. Its callers then don't
 * notice that a prompt waits behind a few others, while those of the shortest target do.
 */
const RELAXED_TARGET_FACTOR = 4;
/**
 * A prompt is long if it takes more than this fraction of the shortest target. A short request then
 * still starts in time behind a few prompts that are just below it and that its instance doesn't
 * know of.
 */
const LONG_FRACTION = 1 / 7;
/**
 * Maximum fraction of their time for which the long-prompt workers process prompts on average. The
 * tokens of running requests take about as much of their time, and the lengths of long prompts
 * differ by an order of magnitude, so that above it many wait for several others.
 */
const MAX_LONG_UTILIZATION = 0.35;
/**
 * The same for the other workers, whose prompts are short. The loads depend on an estimated prefill
 * rate, and these workers must be enough also if it is a fourth too high.
 */
const MAX_OTHER_UTILIZATION = 0.6;
/** Load in workers below which a service has no long prompts: one in several seconds delays few requests. */
const NEGLIGIBLE_LOAD = 0.02;
/**
 * Maximum expected wait at the intended part, as a fraction of the request's target. The rest of
 * the target is for requests at the same worker that the instance doesn't know of: in a burst, they
 * are more than those that it knows.
 */
const INTENDED_WAIT_FRACTION = 0.4;
/** Minimum number of long-prompt workers: with one, its loss would move all long prompts at once. */
const MIN_WORKERS = 2;
/** Minimum fraction of long-prompt workers, so that a sudden burst finds some before it is counted. */
const MIN_FRACTION = 0.1;
/** Maximum fraction of long-prompt workers, since the shortest target needs the other ones. */
const MAX_FRACTION = 0.5;
/**
 * Milliseconds until the number decreases by one. Long prompts come in bursts, and each change
 * moves the shared parts of some prompts to workers that don't have them cached.
 */
const DECREASE_INTERVAL = 1_000;
/**
 * How the processing times of long and of other prompts are counted over all instances. With this half-life a burst
 * is followed within about a second, and single prompts change the load little.
 */
export const PROCESSING_TIME_COUNTS: CountOptions = { halfLife: 1_000, unit: 100 };
/** The key by which all instances order the workers. */
const ORDER_KEY = hashText("long-prompts");

/**
 * Returns the rule for a service.
 *
 * @param routes All routes with a share of the service.
 * @returns undefined if the service has no relaxed route.
 */
export function isolationRuleOf(routes: readonly IsolatedRoute[]): IsolationRule | undefined {
  const targets = routes
    .filter(({ deliversEvents }) => deliversEvents)
    .map(({ latencyTarget }) => latencyTarget);
  const shortest = Math.min(...targets);
  const relaxed = routes.filter(
    ({ latencyTarget }) => latencyTarget >= shortest * RELAXED_TARGET_FACTOR,
  );
  if (relaxed.length === 0) return undefined;
  const relaxedRoutes = new Set(relaxed.map(({ name }) => name));
  return { relaxedRoutes, longAbove: shortest * LONG_FRACTION };
}

/** Returns the part of the workers that a prompt is intended for. */
export function partForPrompt(
  { relaxedRoutes, longAbove }: IsolationRule,
  { route, processingTime }: IsolatedPrompt,
): WorkerPart {
  const isLong = processingTime > longAbove && relaxedRoutes.has(route);
  return isLong ? WorkerPart.LongPrompts : WorkerPart.OtherPrompts;
}

/**
 * Returns a load: the milliseconds per millisecond for which workers process prompts.
 *
 * @param recent The recent processing time, counted with `PROCESSING_TIME_COUNTS`.
 */
export function processingLoad(recent: number): number {
  return (recent * Math.LN2) / PROCESSING_TIME_COUNTS.halfLife;
}

/**
 * Returns whether a part of the workers has capacity for a request that is intended for it;
 * otherwise workers of both parts may get it.
 *
 * @param request `wait` is the expected time to the first event at the best worker of the part and
 * `target` is the latency target, both in milliseconds.
 */
export function hasCapacityFor({ wait, target }: { wait: number; target: number }): boolean {
  return wait <= target * INTENDED_WAIT_FRACTION;
}

/** The present load of a service. Loads are over all instances, as returned by `processingLoad`. */
export interface IsolationLoad {
  readonly longPrompts: number;
  readonly otherPrompts: number;
  /** Number of the service's workers. */
  readonly workers: number;
}

/** The number of long-prompt workers of a service. */
export interface LongPromptNumber {
  /**
   * Returns the number for the present load. It is 0 if there are no long prompts, if other prompts
   * need all workers, or if there is only one.
   */
  update(load: IsolationLoad, now: number): number;
}

/** Creates the number for a service without load. */
export function createLongPromptNumber(): LongPromptNumber {
  const longNeed = createNeed();
  const otherNeed = createNeed();
  return {
    update: ({ longPrompts, otherPrompts, workers }, now) => {
      const least = Math.max(MIN_WORKERS, Math.ceil(workers * MIN_FRACTION));
      const counted = longPrompts < NEGLIGIBLE_LOAD ? 0 : longPrompts;
      const largest = Math.floor(workers * MAX_FRACTION);
      const needed = longNeed.update(Math.min(largest, counted / MAX_LONG_UTILIZATION), now);
      const spare = workers - otherNeed.update(otherPrompts / MAX_OTHER_UTILIZATION, now);
      const most = Math.min(spare, largest);
      if (needed === 0) return 0;
      return Math.max(0, Math.min(Math.max(least, needed), most));
    },
  };
}

/** The number of workers that prompts need. */
interface Need {
  /** Returns the number, which increases at once and decreases slowly. */
  update(workers: number, now: number): number;
}

function createNeed(): Need {
  let level = 0;
  let updatedAt = 0;
  return {
    update: (workers, now) => {
      const decreased = level - Math.max(0, now - updatedAt) / DECREASE_INTERVAL;
      level = Math.max(Math.ceil(workers), decreased);
      updatedAt = now;
      return Math.ceil(level);
    },
  };
}

/** Selects the long-prompt workers of a service. */
export interface LongPromptSelection<W> {
  /**
   * Returns the first `count` workers of the order that may be used. The result is computed only if
   * the workers or the number have changed, since every request reads it.
   *
   * @param workers The registered workers; a changed list is a different array.
   * @param options `usable` is the number of workers for which `isUsable` returns true.
   */
  select(
    workers: readonly W[],
    options: { count: number; usable: number; isUsable: (worker: W) => boolean },
  ): ReadonlySet<W>;
}

/** Creates the selection, which keeps its last result. */
export function createLongPromptSelection<
  W extends { readonly hash: number },
>(): LongPromptSelection<W> {
  let ordered: readonly W[] = [];
  let orderedFrom: readonly W[] | undefined;
  let selected: ReadonlySet<W> = new Set();
  let selectedFor = { count: 0, usable: 0 };
  return {
    select: (workers, { count, usable, isUsable }) => {
      const isSameList = workers === orderedFrom;
      const isSameNumber = count === selectedFor.count && usable === selectedFor.usable;
      if (isSameList && isSameNumber && everyOf(selected, isUsable)) return selected;
      if (!isSameList) ordered = orderWorkers(workers);
      orderedFrom = workers;
      selectedFor = { count, usable };
      selected = new Set(ordered.filter(isUsable).slice(0, count));
      return selected;
    },
  };
}

/** Returns the workers in the order in which they are used for long prompts. */
function orderWorkers<W extends { readonly hash: number }>(workers: readonly W[]): readonly W[] {
  return workers
    .map((worker) => ({ worker, score: mixHashes(worker.hash, ORDER_KEY) }))
    .sort((a, b) => b.score - a.score || a.worker.hash - b.worker.hash)
    .map(({ worker }) => worker);
}

function everyOf<T>(items: Iterable<T>, test: (item: T) => boolean): boolean {
  for (const item of items) if (!test(item)) return false;
  return true;
}

import {
  createRolloutShare,
  createVersionTallies,
  rolloutCourse,
  RolloutPhase,
  tallyKeys,
  workersOnTrial,
} from "../decision/index.ts";
import type {
  RolloutBounds,
  RolloutShare,
  RouteEvidence,
  RunCounts,
  RunTally,
} from "../decision/index.ts";
import { RolloutState } from "../interface/index.ts";
import type { Clock, Random, RolloutEntry, RoutedWorker } from "../interface/index.ts";
import { rendezvousOrder, servedVersions, stateOfOrder } from "../version/index.ts";
import type { ServedVersions, VersionStock } from "../version/index.ts";
import { createRolloutPlans } from "./rollout_plan.ts";
import type { RolloutPlan } from "./rollout_plan.ts";
import type { RoutedLog } from "./routed_log.ts";

/** This instance's knowledge of a service's rollout order. */
export interface ServiceRollout {
  /** The order and its status as stored. */
  readonly entry: RolloutEntry;
  /** State of the order; undefined before its first status. */
  readonly state: RolloutState | undefined;
  readonly served: ServedVersions | undefined;
  /** Time of the order, in milliseconds since the Unix epoch; undefined if this instance doesn't know it. */
  readonly startedAt: number | undefined;
  /** Phase of the current plan; undefined without a valid plan. */
  readonly phase: RolloutPhase | undefined;
  /** Requests sent by this instance since it learned of the order. */
  readonly sent: RolloutShare["counts"];
}

/** The workers of a service that may receive a request. */
export interface Admission {
  /** Whether the worker has the version that serves. */
  readonly serves: (worker: RoutedWorker) => boolean;
  /** Ids of workers on trial. One of them receives the request unless it has more load than the serving workers. */
  readonly onTrial: ReadonlySet<string>;
}

/** Decides which worker versions this instance sends requests to, and counts their results. */
export interface RolloutView {
  /**
   * Replaces the rollout orders.
   *
   * @param age Milliseconds since they changed; undefined if they may be much older.
   */
  setEntries(entries: readonly RolloutEntry[], age: number | undefined): void;
  /** Replaces the workers. */
  setWorkers(workers: readonly RoutedWorker[]): void;
  /** Applies plans received from another instance or made by this one. */
  heard(plans: readonly RolloutPlan[]): void;
  /** Lists the plans to send to other instances. */
  plans(): RolloutPlan[];
  /** Returns the workers of a service that may receive a request now; undefined if all of them may. */
  admitting(service: string): Admission | undefined;
  /**
   * Records that a run begins at a worker.
   *
   * @param run `reads` is the number of prompt tokens that the worker has to process before it answers.
   */
  begin(run: { worker: RoutedWorker; route: string; reads: number; isCold: boolean }): RunTally;
  /** Returns this instance's run counts, by hashes from `tallyKeys`. */
  counts(): ReadonlyMap<number, RunCounts>;
  /** Selects the evidence on the current order from the fleet-wide run counts by the same hashes. */
  evidence(
    service: string,
    from: { routes: readonly string[]; sums: ReadonlyMap<number, RunCounts> },
  ): RouteEvidence[];
  /** Returns the service's order; undefined if there is none. */
  find(service: string): ServiceRollout | undefined;
  /** Lists all services with an order. */
  services(): string[];
  /** Returns the served versions by service, as far as this instance knows them. */
  served(): ReadonlyMap<string, ServedVersions>;
  /** Returns the workers of the serving version and of the version on trial, without those that leave. */
  stock(service: string): { base: RoutedWorker[]; tried: RoutedWorker[] };
}

/** Dependencies of {@linkcode createRolloutView}. */
export interface RolloutViewParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly bounds: RolloutBounds;
  /** Returns the time synchronized across instances, in milliseconds since the Unix epoch. */
  readonly time: () => number;
  /** Returns the number of entry instances. */
  readonly members: () => number;
  /** Returns the fleet-wide counts for a hash from `tallyKeys`, as far as this instance knows them. */
  readonly sumOf: (key: number) => RunCounts | undefined;
  /** Called when a run begins at a worker of this version. */
  readonly onBegin: (service: string, version: string) => void;
  readonly log: Pick<RoutedLog, "changed">;
}

interface Known {
  entry: RolloutEntry | undefined;
  startedAt: number | undefined;
  served: ServedVersions | undefined;
  readonly barred: Set<string>;
  share: RolloutShare;
  /** Ids of the workers of the version on trial, in the order in which they are used. */
  tried: readonly string[];
  /** Ids of all workers on trial that have received a request from this instance. */
  readonly everTried: Set<string>;
  /** Number of workers of the serving version. */
  base: number;
  workers: readonly RoutedWorker[];
  /** Whether all workers have the serving version. */
  isUniform: boolean;
}

const NOTHING: RunCounts = { runs: 0, failures: 0 };
const NOBODY: ReadonlySet<string> = new Set();

/** Creates a view without workers and orders. */
export function createRolloutView(parts: RolloutViewParts): RolloutView {
  const { clock, random, bounds, time, members, log } = parts;
  const services = new Map<string, Known>();
  const plans = createRolloutPlans();
  const tallies = createVersionTallies(parts.sumOf);
  const newShare = (entry: RolloutEntry | undefined): RolloutShare => {
    const course = rolloutCourse(entry?.order.duration ?? Infinity, bounds);
    return createRolloutShare({ bounds, course, members, random });
  };

  const knownOf = (service: string): Known => {
    const found = services.get(service) ?? {
      entry: undefined,
      startedAt: undefined,
      served: undefined,
      barred: new Set<string>(),
      share: newShare(undefined),
      tried: [],
      everTried: new Set<string>(),
      base: 0,
      workers: [],
      isUniform: true,
    };
    services.set(service, found);
    return found;
  };
  const update = (service: string, known: Known): void => {
    const { entry, served: before } = known;
    if (entry !== undefined && stateOfOrder(entry) === RolloutState.RolledBack) {
      known.barred.add(entry.order.to);
    }
    const stock = stockOf(known.workers);
    const served = servedVersions({ stock, entry, before: before?.base, barred: known.barred });
    if (served?.tried !== before?.tried) {
      known.share = newShare(entry);
      known.everTried.clear();
      tallies.expect(service, served?.tried);
      if (served?.tried === undefined) plans.forget(service);
    }
    known.served = served;
    known.base = readyOf(known, served?.base).length;
    known.tried = rendezvousOrder(
      service,
      readyOf(known, served?.tried).map(({ id }) => id),
    );
    known.isUniform = known.workers.every(({ version }) => version === served?.base);
    if (served?.base === before?.base && served?.tried === before?.tried) return;
    log.changed("versions-served", {
      service,
      base: served?.base ?? "",
      tried: served?.tried ?? "",
      ordered: entry?.order.to ?? "",
      state: (entry === undefined ? undefined : stateOfOrder(entry)) ?? "",
      barred: [...known.barred].join(" "),
    });
  };
  const phaseOf = (service: string, { served }: Known): RolloutPhase | undefined =>
    served?.tried === undefined
      ? undefined
      : plans.find({ service, to: served.tried }, clock.now())?.phase;
  const readyOf = ({ workers, served }: Known, version: string | undefined): RoutedWorker[] =>
    served === undefined || version === undefined
      ? []
      : workers.filter((worker) => worker.version === version && !worker.isLeaving);

  /** Returns the ids of the workers on trial that this instance uses at the moment. */
  const onTrial = ({ entry, startedAt, share, base, tried }: Known): string[] => {
    if (entry === undefined || startedAt === undefined) return [];
    const { duration } = entry.order;
    const part = rolloutCourse(duration, bounds).parts[RolloutPhase.Trial];
    const since = time() - startedAt;
    return workersOnTrial(tried, { since, duration, part, base, delay: share.delay });
  };
  const admitting: RolloutView["admitting"] = (service) => {
    const known = services.get(service);
    if (known?.served === undefined || known.isUniform) return undefined;
    const { served, share } = known;
    const { base, tried: named } = served;
    const phase = phaseOf(service, known);
    if (phase === RolloutPhase.Switch && share.mayTry(phase)) {
      return { serves: ({ version }) => version === named, onTrial: NOBODY };
    }
    const mayTry = phase !== undefined && share.mayTry(RolloutPhase.Trial);
    const now = mayTry ? new Set(onTrial(known)) : NOBODY;
    return { serves: ({ version }) => version === base, onTrial: now };
  };
  return {
    setEntries: (entries, age) => {
      const there = new Map(entries.map((entry) => [entry.order.service, entry]));
      for (const [service, known] of services) {
        if (known.entry === undefined || there.has(service)) continue;
        known.entry = undefined;
        known.startedAt = undefined;
        update(service, known);
      }
      for (const [service, entry] of there) {
        const known = knownOf(service);
        const isNew = known.entry?.order.to !== entry.order.to;
        if (isNew) known.startedAt = age === undefined ? undefined : time() - age;
        known.entry = entry;
        update(service, known);
      }
    },
    setWorkers: (workers) => {
      const byService = new Map<string, RoutedWorker[]>();
      for (const worker of workers) {
        const list = byService.get(worker.service) ?? [];
        byService.set(worker.service, list);
        list.push(worker);
      }
      for (const service of new Set([...services.keys(), ...byService.keys()])) {
        const known = knownOf(service);
        known.workers = byService.get(service) ?? [];
        update(service, known);
      }
    },
    heard: (told) => {
      plans.heard(told, clock.now());
      for (const { service, to, startedAt } of told) {
        const known = services.get(service);
        if (known?.entry?.order.to === to) known.startedAt ??= startedAt;
      }
    },
    plans: () => plans.list(clock.now()),
    admitting,
    begin: ({ worker, route, reads, isCold }) => {
      const { service, version, id } = worker;
      parts.onBegin(service, version);
      const now = clock.now();
      const known = services.get(service);
      const named = known?.served?.tried;
      if (known === undefined || named === undefined) {
        const tried = undefined;
        return tallies.begin({ service, route, reads, tried, isCold, isCompared: false, now });
      }
      const isTried = version === named;
      known.share.sent(isTried);
      if (isTried) known.everTried.add(id);
      const tried = isTried ? id : undefined;
      const isCompared = isTried || onTrial(known).length > 0;
      return tallies.begin({ service, route, reads, tried, isCold, isCompared, now });
    },
    counts: () => tallies.counts(clock.now()),
    evidence: (service, { routes, sums }) => {
      const known = services.get(service);
      const named = known?.served?.tried;
      if (known === undefined || named === undefined) return [];
      const of = (key: number): RunCounts => sums.get(key) ?? NOTHING;
      return routes.map((route) => {
        const base = tallyKeys({ service, tried: named, route, worker: undefined });
        const tried = [...known.everTried, ...known.tried].map((worker) => ({
          worker,
          keys: tallyKeys({ service, tried: named, route, worker }),
        }));
        return {
          route,
          answers: {
            base: of(base.answers),
            tried: new Map(tried.map(({ worker, keys }) => [worker, of(keys.answers)])),
          },
          times: {
            base: of(base.times),
            tried: new Map(tried.map(({ worker, keys }) => [worker, of(keys.times)])),
          },
        };
      });
    },
    find: (service) => {
      const known = services.get(service);
      if (known?.entry === undefined) return undefined;
      const { entry, served, startedAt, share } = known;
      const state = stateOfOrder(entry);
      return {
        entry,
        state,
        served,
        startedAt,
        phase: phaseOf(service, known),
        sent: share.counts,
      };
    },
    services: () =>
      [...services].filter(([, { entry }]) => entry !== undefined).map(([service]) => service),
    served: () =>
      new Map(
        [...services].flatMap(([service, { served }]) =>
          served === undefined ? [] : [[service, served]],
        ),
      ),
    stock: (service) => {
      const known = services.get(service);
      if (known === undefined) return { base: [], tried: [] };
      return {
        base: readyOf(known, known.served?.base),
        tried: readyOf(known, known.served?.tried),
      };
    },
  };
}

/** Filters the workers of the serving version: workers on trial count neither as capacity nor as surplus. */
export function servedWorkers(
  workers: readonly RoutedWorker[],
  served: ReadonlyMap<string, ServedVersions> | undefined,
): readonly RoutedWorker[] {
  if (served === undefined) return workers;
  return workers.filter(
    ({ service, version }) => (served.get(service)?.base ?? version) === version,
  );
}

function stockOf(workers: readonly RoutedWorker[]): Map<string, VersionStock> {
  const stock = new Map<string, VersionStock>();
  for (const { version, born } of workers) {
    const before = stock.get(version) ?? { workers: 0, oldest: Infinity };
    stock.set(version, {
      workers: before.workers + 1,
      oldest: Math.min(before.oldest, born),
    });
  }
  return stock;
}

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

/** What is known of a service's roll-out. */
export interface ServiceRollout {
  readonly entry: RolloutEntry;
  readonly state: RolloutState | undefined;
  readonly served: ServedVersions | undefined;
  /** When the order was given, in milliseconds since 1970; undefined where nobody here knows. */
  readonly startedAt: number | undefined;
  readonly phase: RolloutPhase | undefined;
  /** Sent by this instance since it knew of the order. */
  readonly sent: RolloutShare["counts"];
}

/** Which workers of a service may be given a request. */
export interface Admission {
  readonly serves: (worker: RoutedWorker) => boolean;
  /** Ids of workers on trial, one of which is to get the request unless it has more to do than those that serve. */
  readonly onTrial: ReadonlySet<string>;
}

/** Which versions of the workers one instance gives requests to, and what it sees of them. */
export interface RolloutView {
  /**
   * Takes in the orders as they stand.
   *
   * @param age Milliseconds since they changed; undefined where they may have stood for long.
   */
  setEntries(entries: readonly RolloutEntry[], age: number | undefined): void;
  setWorkers(workers: readonly RoutedWorker[]): void;
  /** Plans that another instance tells, or that this one makes. */
  heard(plans: readonly RolloutPlan[]): void;
  /** Plans to be told to others. */
  plans(): RolloutPlan[];
  /** Which workers of a service may be given a request now; undefined where all of them may. */
  admitting(service: string): Admission | undefined;
  /** A run begins at a worker. */
  begin(run: { worker: RoutedWorker; route: string; reads: number; isCold: boolean }): RunTally;
  /** What this instance has seen, by the hashes that `tallyKeys` gives. */
  counts(): ReadonlyMap<number, RunCounts>;
  /** What all instances have seen of an order under way, out of their sums by the same hashes. */
  evidence(
    service: string,
    from: { routes: readonly string[]; sums: ReadonlyMap<number, RunCounts> },
  ): RouteEvidence[];
  /** The service's order; undefined where there is none. */
  find(service: string): ServiceRollout | undefined;
  /** All services with an order. */
  services(): string[];
  /** The services whose served version this instance knows. */
  served(): ReadonlyMap<string, ServedVersions>;
  /** The workers that serve, and those of the version on trial, which take requests. */
  stock(service: string): { base: RoutedWorker[]; tried: RoutedWorker[] };
}

/** What the view is made with. */
export interface RolloutViewParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly bounds: RolloutBounds;
  /** The time of day that the instances agree on, in milliseconds since 1970. */
  readonly time: () => number;
  readonly members: () => number;
  /** What all instances have counted under a hash of `tallyKeys`, as far as this one knows. */
  readonly sumOf: (key: number) => RunCounts | undefined;
  /** A run begins at a worker of this version. */
  readonly onBegin: (service: string, version: string) => void;
  readonly log: Pick<RoutedLog, "changed">;
}

interface Known {
  entry: RolloutEntry | undefined;
  startedAt: number | undefined;
  served: ServedVersions | undefined;
  readonly barred: Set<string>;
  share: RolloutShare;
  /** The workers of the version on trial, those first that are tried, and all that were given anything here. */
  tried: readonly string[];
  readonly everTried: Set<string>;
  /** Workers that serve. */
  base: number;
  workers: readonly RoutedWorker[];
  /** Whether all workers are of the version that serves. */
  isUniform: boolean;
}

const NOTHING: RunCounts = { runs: 0, failures: 0 };
const NOBODY: ReadonlySet<string> = new Set();

/** Makes a view without workers and orders. */
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

  /** The workers on trial that this instance uses in this moment. */
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

/** The workers that serve: those on trial are neither needed for the load nor surplus. */
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

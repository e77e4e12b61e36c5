import {
  createRolloutShare,
  createVersionTallies,
  isTrialOpen,
  RolloutPhase,
  tallyKeys,
  triedWorkers,
} from "../decision/index.ts";
import type {
  RolloutBounds,
  RolloutShare,
  RouteEvidence,
  TallyCounts,
  RunTally,
} from "../decision/index.ts";
import { RolloutState } from "../interface/index.ts";
import type { Clock, RolloutEntry, RoutedWorker } from "../interface/index.ts";
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
  admitting(service: string): ((worker: RoutedWorker) => boolean) | undefined;
  /** A run begins at a worker. */
  begin(run: { worker: RoutedWorker; route: string; reads: number; isCold: boolean }): RunTally;
  /** What this instance has seen, by the hashes that `tallyKeys` gives. */
  counts(): ReadonlyMap<number, TallyCounts>;
  /** What all instances have seen of an order under way, out of their sums by the same hashes. */
  evidence(
    service: string,
    from: { routes: readonly string[]; sums: ReadonlyMap<number, TallyCounts> },
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
  readonly bounds: RolloutBounds;
  /** The time of day that the instances agree on, in milliseconds since 1970. */
  readonly time: () => number;
  readonly members: () => number;
  readonly log: Pick<RoutedLog, "changed">;
}

interface Known {
  entry: RolloutEntry | undefined;
  startedAt: number | undefined;
  served: ServedVersions | undefined;
  readonly barred: Set<string>;
  share: RolloutShare;
  /** Workers on trial now, and all that ever were in this order. */
  tried: ReadonlySet<string>;
  readonly everTried: Set<string>;
  workers: readonly RoutedWorker[];
  /** Whether all workers are of the version that serves. */
  isUniform: boolean;
}

const NOTHING: TallyCounts = { runs: 0, failures: 0 };

/** Makes a view without workers and orders. */
export function createRolloutView(parts: RolloutViewParts): RolloutView {
  const { clock, bounds, time, members, log } = parts;
  const services = new Map<string, Known>();
  const plans = createRolloutPlans();
  const tallies = createVersionTallies();
  const newShare = (): RolloutShare => createRolloutShare(bounds, members);

  const knownOf = (service: string): Known => {
    const found = services.get(service) ?? {
      entry: undefined,
      startedAt: undefined,
      served: undefined,
      barred: new Set<string>(),
      share: newShare(),
      tried: new Set<string>(),
      everTried: new Set<string>(),
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
      known.share = newShare();
      known.everTried.clear();
      tallies.expect(service, served?.tried);
      if (served?.tried === undefined) plans.forget(service);
    }
    known.served = served;
    known.tried = chooseTried(service, known);
    for (const id of known.tried) known.everTried.add(id);
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
  /** The same workers everywhere: those that were chosen stay as long as they are there. */
  const chooseTried = (service: string, { served, workers }: Known): ReadonlySet<string> => {
    const named = served?.tried;
    if (named === undefined) return new Set();
    const ready = workers.filter(({ isLeaving }) => !isLeaving);
    const base = ready.filter(({ version }) => version === served?.base).length;
    const ids = ready.filter(({ version }) => version === named).map(({ id }) => id);
    return new Set(rendezvousOrder(service, ids).slice(0, triedWorkers(base, bounds)));
  };
  const phaseOf = (service: string, { served }: Known): RolloutPhase | undefined =>
    served?.tried === undefined
      ? undefined
      : plans.find({ service, to: served.tried }, clock.now())?.phase;
  const readyOf = ({ workers, served }: Known, version: string | undefined): RoutedWorker[] =>
    served === undefined || version === undefined
      ? []
      : workers.filter((worker) => worker.version === version && !worker.isLeaving);

  const admitting: RolloutView["admitting"] = (service) => {
    const known = services.get(service);
    if (known?.served === undefined || known.isUniform) return undefined;
    const { served, share, tried } = known;
    const { base, tried: named } = served;
    const phase = phaseOf(service, known);
    if (named !== undefined && phase !== undefined && share.mayTry(phase)) {
      if (phase === RolloutPhase.Switch) return ({ version }) => version === named;
      const counts = { base: readyOf(known, base).length, tried: tried.size };
      if (isTrialOpen(time(), bounds, counts)) {
        return ({ version, id }) => version === base || tried.has(id);
      }
    }
    return ({ version }) => version === base;
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
      const named = services.get(service)?.served?.tried;
      const isTried = named !== undefined && version === named;
      if (named !== undefined) services.get(service)?.share.sent(isTried);
      const tried = isTried ? id : undefined;
      return tallies.begin({ service, route, reads, tried, isCold, now: clock.now() });
    },
    counts: () => tallies.counts(clock.now()),
    evidence: (service, { routes, sums }) => {
      const known = services.get(service);
      const named = known?.served?.tried;
      if (known === undefined || named === undefined) return [];
      const of = (key: number): TallyCounts => sums.get(key) ?? NOTHING;
      return routes.map((route) => {
        const base = tallyKeys({ service, tried: named, route, worker: undefined });
        const tried = [...known.everTried].map((worker) => ({
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

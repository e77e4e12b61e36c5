import {
  createRolloutBudget,
  createVersionTallies,
  planRollout,
  RolloutPhase,
  tallyKeys,
  activeTrialWorkers,
} from "../decision/index.ts";
import type {
  RolloutLimits,
  RolloutBudget,
  RouteEvidence,
  RunCounts,
  RunTally,
} from "../decision/index.ts";
import { RolloutState } from "../interface/index.ts";
import type { Clock, Random, RolloutEntry, RoutedWorker } from "../interface/index.ts";
import { rendezvousOrder, servedVersions, stateOfOrder } from "../version/index.ts";
import type { ServedVersions, VersionWorkers } from "../version/index.ts";
import { createRolloutPlans } from "./rollout_plan.ts";
import type { RolloutPlan } from "./rollout_plan.ts";
import type { RoutedLog } from "./routed_log.ts";

/** A service's rollout order, as far as this instance has received it. */
export interface ServiceRollout {
  /** The order and its status as stored. */
  readonly entry: RolloutEntry;
  /** State of the order; undefined before its first status. */
  readonly state: RolloutState | undefined;
  readonly served: ServedVersions | undefined;
  /** Time of the order, in milliseconds since the Unix epoch; undefined if it isn't known here. */
  readonly startedAt: number | undefined;
  /** Phase of the current plan; undefined without a valid plan. */
  readonly phase: RolloutPhase | undefined;
  /** Requests sent by this instance since it received the order. */
  readonly sent: RolloutBudget["counts"];
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
  updatePlans(plans: readonly RolloutPlan[]): void;
  /** Lists the plans to send to other instances. */
  plans(): RolloutPlan[];
  /** Returns the workers of a service that may receive a request now; undefined if all of them may. */
  admitting(service: string): Admission | undefined;
  /**
   * Records that a run begins at a worker.
   *
   * @param run `reads` is the number of prompt tokens that the worker has to process before its first token.
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
  /** Returns the served versions by service, as far as this instance has received them. */
  served(): ReadonlyMap<string, ServedVersions>;
  /** Returns the workers of the serving version and of the version on trial, except leaving ones. */
  stock(service: string): { base: RoutedWorker[]; trial: RoutedWorker[] };
}

/** Dependencies of {@linkcode createRolloutView}. */
export interface RolloutViewParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly limits: RolloutLimits;
  /** Returns the time synchronized across instances, in milliseconds since the Unix epoch. */
  readonly time: () => number;
  /** Returns the number of entry instances. */
  readonly instanceCount: () => number;
  /** Returns the fleet-wide counts for a hash from `tallyKeys`, as far as this instance has received them. */
  readonly fleetCountsOf: (key: number) => RunCounts | undefined;
  /** Called when a run begins at a worker of this version. */
  readonly onBegin: (service: string, version: string) => void;
  readonly log: Pick<RoutedLog, "changed">;
}

/** State of one service. */
interface ServiceState {
  entry: RolloutEntry | undefined;
  startedAt: number | undefined;
  served: ServedVersions | undefined;
  /** Versions that were rolled back and receive no requests. */
  readonly barred: Set<string>;
  /** Limits the share of requests sent to the version on trial. */
  share: RolloutBudget;
  /** Ids of the workers of the version on trial, in the order in which they are used. */
  trialWorkers: readonly string[];
  /** Ids of all workers on trial that have received a request from this instance. */
  readonly usedTrialWorkers: Set<string>;
  /** Number of workers of the serving version. */
  base: number;
  workers: readonly RoutedWorker[];
  /** Whether all workers have the serving version. */
  isUniform: boolean;
}

const NO_RUNS: RunCounts = { runs: 0, failures: 0 };
const NO_WORKERS: ReadonlySet<string> = new Set();

/**
 * Creates a view without workers and orders.
 *
 * While an order is in progress and its plan is valid, a limited share of this instance's requests goes to workers of
 * the new version. Their results are counted per route, and the lease holder judges the version by the counts of all
 * instances.
 */
export function createRolloutView(parts: RolloutViewParts): RolloutView {
  const { clock, random, limits, time, instanceCount, log } = parts;
  const services = new Map<string, ServiceState>();
  const plans = createRolloutPlans();
  const tallies = createVersionTallies(parts.fleetCountsOf);
  const newShare = (entry: RolloutEntry | undefined): RolloutBudget => {
    const schedule = planRollout(entry?.order.duration ?? Infinity, limits);
    return createRolloutBudget({ limits, schedule, memberCount: instanceCount, random });
  };

  const serviceStateOf = (service: string): ServiceState => {
    const found = services.get(service) ?? {
      entry: undefined,
      startedAt: undefined,
      served: undefined,
      barred: new Set<string>(),
      share: newShare(undefined),
      trialWorkers: [],
      usedTrialWorkers: new Set<string>(),
      base: 0,
      workers: [],
      isUniform: true,
    };
    services.set(service, found);
    return found;
  };
  const update = (service: string, serviceState: ServiceState): void => {
    const { entry, served: previous } = serviceState;
    if (entry !== undefined && stateOfOrder(entry) === RolloutState.RolledBack) {
      serviceState.barred.add(entry.order.to);
    }
    const workersByVersion = countVersions(serviceState.workers);
    const served = servedVersions({
      workersByVersion,
      entry,
      previousBase: previous?.base,
      rolledBack: serviceState.barred,
    });
    if (served?.tried !== previous?.tried) {
      serviceState.share = newShare(entry);
      serviceState.usedTrialWorkers.clear();
      tallies.setTrialVersion(service, served?.tried);
      if (served?.tried === undefined) plans.forget(service);
    }
    serviceState.served = served;
    serviceState.base = readyWorkers(serviceState, served?.base).length;
    serviceState.trialWorkers = rendezvousOrder(
      service,
      readyWorkers(serviceState, served?.tried).map(({ id }) => id),
    );
    serviceState.isUniform = serviceState.workers.every(({ version }) => version === served?.base);
    if (served?.base === previous?.base && served?.tried === previous?.tried) return;
    log.changed("versions-served", {
      service,
      base: served?.base ?? "",
      tried: served?.tried ?? "",
      ordered: entry?.order.to ?? "",
      state: (entry === undefined ? undefined : stateOfOrder(entry)) ?? "",
      barred: [...serviceState.barred].join(" "),
    });
  };
  const phaseOf = (service: string, { served }: ServiceState): RolloutPhase | undefined =>
    served?.tried === undefined
      ? undefined
      : plans.find({ service, to: served.tried }, clock.now())?.phase;
  const readyWorkers = (
    { workers, served }: ServiceState,
    version: string | undefined,
  ): RoutedWorker[] =>
    served === undefined || version === undefined
      ? []
      : workers.filter((worker) => worker.version === version && !worker.isLeaving);

  /** Returns the ids of the workers on trial that this instance uses at the moment. */
  const onTrial = ({
    entry,
    startedAt,
    share,
    base: baseWorkers,
    trialWorkers,
  }: ServiceState): string[] => {
    if (entry === undefined || startedAt === undefined) return [];
    const { duration } = entry.order;
    const maxShare = planRollout(duration, limits).maxShares[RolloutPhase.Trial];
    const elapsed = time() - startedAt;
    return activeTrialWorkers(trialWorkers, {
      elapsed,
      duration,
      maxShare,
      baseWorkers,
      startDelay: share.startDelay,
    });
  };
  const admitting: RolloutView["admitting"] = (service) => {
    const serviceState = services.get(service);
    if (serviceState?.served === undefined || serviceState.isUniform) return undefined;
    const { served, share } = serviceState;
    const { base, tried: trialVersion } = served;
    const phase = phaseOf(service, serviceState);
    if (phase === RolloutPhase.Switch && share.canSendToTrial(phase)) {
      return { serves: ({ version }) => version === trialVersion, onTrial: NO_WORKERS };
    }
    const canTry = phase !== undefined && share.canSendToTrial(RolloutPhase.Trial);
    const trialWorkers = canTry ? new Set(onTrial(serviceState)) : NO_WORKERS;
    return { serves: ({ version }) => version === base, onTrial: trialWorkers };
  };
  return {
    setEntries: (entries, age) => {
      const entryByService = new Map(entries.map((entry) => [entry.order.service, entry]));
      for (const [service, serviceState] of services) {
        if (serviceState.entry === undefined || entryByService.has(service)) continue;
        serviceState.entry = undefined;
        serviceState.startedAt = undefined;
        update(service, serviceState);
      }
      for (const [service, entry] of entryByService) {
        const serviceState = serviceStateOf(service);
        const isNew = serviceState.entry?.order.to !== entry.order.to;
        if (isNew) serviceState.startedAt = age === undefined ? undefined : time() - age;
        serviceState.entry = entry;
        update(service, serviceState);
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
        const serviceState = serviceStateOf(service);
        serviceState.workers = byService.get(service) ?? [];
        update(service, serviceState);
      }
    },
    updatePlans: (received) => {
      plans.update(received, clock.now());
      for (const { service, to, startedAt } of received) {
        const serviceState = services.get(service);
        if (serviceState?.entry?.order.to === to) serviceState.startedAt ??= startedAt;
      }
    },
    plans: () => plans.list(clock.now()),
    admitting,
    begin: ({ worker, route, reads: prefillTokens, isCold: isWarmingUp }) => {
      const { service, version, id } = worker;
      parts.onBegin(service, version);
      const startedAt = clock.now();
      const serviceState = services.get(service);
      const trialVersion = serviceState?.served?.tried;
      if (serviceState === undefined || trialVersion === undefined) {
        const trialWorker = undefined;
        return tallies.begin({
          service,
          route,
          prefillTokens,
          trialWorker,
          isWarmingUp,
          isCompared: false,
          startedAt,
        });
      }
      const isTrial = version === trialVersion;
      serviceState.share.recordSent(isTrial);
      if (isTrial) serviceState.usedTrialWorkers.add(id);
      const trialWorker = isTrial ? id : undefined;
      const isCompared = isTrial || onTrial(serviceState).length > 0;
      return tallies.begin({
        service,
        route,
        prefillTokens,
        trialWorker,
        isWarmingUp,
        isCompared,
        startedAt,
      });
    },
    counts: () => tallies.counts(clock.now()),
    evidence: (service, { routes, sums }) => {
      const serviceState = services.get(service);
      const trialVersion = serviceState?.served?.tried;
      if (serviceState === undefined || trialVersion === undefined) return [];
      const countsFor = (key: number): RunCounts => sums.get(key) ?? NO_RUNS;
      return routes.map((route) => {
        const base = tallyKeys({ service, trialVersion, route, worker: undefined });
        const workersWithKeys = [
          ...serviceState.usedTrialWorkers,
          ...serviceState.trialWorkers,
        ].map((worker) => ({
          worker,
          keys: tallyKeys({ service, trialVersion, route, worker }),
        }));
        return {
          route,
          answers: {
            base: countsFor(base.answers),
            tried: new Map(
              workersWithKeys.map(({ worker, keys }) => [worker, countsFor(keys.answers)]),
            ),
          },
          times: {
            base: countsFor(base.times),
            tried: new Map(
              workersWithKeys.map(({ worker, keys }) => [worker, countsFor(keys.times)]),
            ),
          },
        };
      });
    },
    find: (service) => {
      const serviceState = services.get(service);
      if (serviceState?.entry === undefined) return undefined;
      const { entry, served, startedAt, share } = serviceState;
      const state = stateOfOrder(entry);
      return {
        entry,
        state,
        served,
        startedAt,
        phase: phaseOf(service, serviceState),
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
      const serviceState = services.get(service);
      if (serviceState === undefined) return { base: [], trial: [] };
      return {
        base: readyWorkers(serviceState, serviceState.served?.base),
        trial: readyWorkers(serviceState, serviceState.served?.tried),
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

function countVersions(workers: readonly RoutedWorker[]): Map<string, VersionWorkers> {
  const workersByVersion = new Map<string, VersionWorkers>();
  for (const { version, startedAt } of workers) {
    const previous = workersByVersion.get(version) ?? { workers: 0, oldest: Infinity };
    workersByVersion.set(version, {
      workers: previous.workers + 1,
      oldest: Math.min(previous.oldest, startedAt),
    });
  }
  return workersByVersion;
}

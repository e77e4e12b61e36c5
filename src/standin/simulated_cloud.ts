/**
 * A simulated cloud for development and tests. It launches, lists, reclaims and terminates
 * instances.
 *
 * As on a real cloud, the list of workers lags behind, a reclaim is announced before it happens,
 * and launches can be refused. A launch is identified by its token, so repeating one after a lost
 * response doesn't start a second instance.
 *
 * @module
 */
import { WorkerState } from "../interface/index.ts";
import type { Clock, Launch, LaunchOutcome, ReclaimNotice, Worker } from "../interface/index.ts";

/** An entry instance that the cloud can reclaim. */
export interface EntryLocation {
  /** Name of the instance without its incarnation. */
  readonly name: string;
  readonly zone: string;
}

/** Options of the simulated cloud. */
export interface CloudOptions {
  readonly clock: Clock;
  /** Workers at the start. */
  readonly workers: readonly Worker[];
  /** Entry instances in the zones of the cloud; defaults to none. */
  readonly entries?: readonly EntryLocation[];
  /** Delay of the list of workers in milliseconds; defaults to 0. */
  readonly listLag?: number;
  /**
   * Starts a backend server for a launch and resolves with its address. If absent, launches are
   * refused.
   */
  readonly launch?: (launch: Launch, worker: string) => Promise<string>;
  /** Called when an instance has been reclaimed or terminated. */
  readonly onInstanceRemoved?: (instance: string) => void;
}

/**
 * The instances to reclaim: one by its name or worker id, or all in a zone. `within` is the notice
 * in milliseconds.
 */
export type ReclaimTarget =
  | { readonly instance: string; readonly within: number }
  | { readonly zone: string; readonly within: number };

/** A simulated cloud that launches, lists, reclaims and terminates instances. */
export interface SimulatedCloud {
  /** Launches an instance. Repeating a launch with the same token returns the first instance. */
  launch(launch: Launch): Promise<LaunchOutcome>;
  /** Terminates an instance at once. Returns false if it doesn't exist. */
  terminate(instance: string): boolean;
  /** Returns the announced reclaims, with the milliseconds that remain. */
  notices(): readonly ReclaimNotice[];
  /** Returns the workers as they were `listLag` milliseconds ago. */
  list(): readonly Worker[];
  /**
   * Announces that instances will be reclaimed, and removes them when the notice has passed.
   *
   * @returns The names of the instances, without those that were announced before.
   */
  reclaim(reclaim: ReclaimTarget): readonly string[];
  /** Starts or stops refusing launches in a zone, or in all zones if none is given. */
  refuse(refusal: { readonly zone?: string; readonly refuse: boolean }): void;
  /** Stops reporting removed instances. */
  close(): void;
}

interface Snapshot {
  readonly at: number;
  readonly workers: readonly Worker[];
}

/** Key of the refusal of launches in every zone. */
const ALL_ZONES = "*";

/** Creates a simulated cloud. */
export function createSimulatedCloud(settings: CloudOptions): SimulatedCloud {
  const { clock, listLag = 0 } = settings;
  const workers = new Map(settings.workers.map((worker) => [worker.id, worker]));
  const entries = new Map((settings.entries ?? []).map((entry) => [entry.name, entry]));
  const reclaimTimes = new Map<string, number>();
  const instanceByToken = new Map<string, string>();
  const refusingZones = new Set<string>();
  let snapshots: Snapshot[] = [{ at: Number.NEGATIVE_INFINITY, workers: settings.workers }];
  let isClosed = false;

  const recordSnapshot = (): void => {
    snapshots.push({ at: clock.now(), workers: [...workers.values()] });
  };
  const putWorker = (worker: Worker): void => {
    workers.set(worker.id, worker);
    recordSnapshot();
  };
  const removeInstance = (instance: string): boolean => {
    reclaimTimes.delete(instance);
    const isKnown = workers.delete(instance) || entries.delete(instance);
    if (!isKnown || isClosed) return false;
    recordSnapshot();
    settings.onInstanceRemoved?.(instance);
    return true;
  };
  const refusalReason = ({ zone }: Launch): string | undefined => {
    if (settings.launch === undefined) return "Launches are not supported.";
    const isRefused = refusingZones.has(zone) || refusingZones.has(ALL_ZONES);
    return isRefused ? `No capacity in ${zone}.` : undefined;
  };
  const startWorker = async (launch: Launch, id: string): Promise<void> => {
    const { service, zone, machineClass, purchase } = launch;
    const worker: Worker = {
      id,
      address: "",
      service,
      zone,
      machineClass,
      purchase,
      state: WorkerState.Starting,
    };
    putWorker(worker);
    const address = await settings.launch?.(launch, id);
    // The instance may have been reclaimed while it was starting.
    if (address !== undefined && workers.has(id)) {
      putWorker({ ...worker, address, state: WorkerState.Live });
    }
  };
  const scheduleReclaim = (instance: string, within: number): void => {
    const at = clock.now() + within;
    reclaimTimes.set(instance, at);
    const worker = workers.get(instance);
    if (worker !== undefined) putWorker({ ...worker, state: WorkerState.Leaving, reclaimAt: at });
    clock.after(within, () => removeInstance(instance));
  };
  const instancesToReclaim = (reclaim: ReclaimTarget): readonly string[] => {
    if ("instance" in reclaim) {
      const { instance } = reclaim;
      return workers.has(instance) || entries.has(instance) ? [instance] : [];
    }
    const workersInZone = [...workers.values()].filter(({ zone }) => zone === reclaim.zone);
    const entriesInZone = [...entries.values()].filter(({ zone }) => zone === reclaim.zone);
    return [...workersInZone.map(({ id }) => id), ...entriesInZone.map(({ name }) => name)];
  };
  return {
    launch: (launch) => {
      const launched = instanceByToken.get(launch.token);
      if (launched !== undefined) return Promise.resolve({ kind: "launched", instance: launched });
      const reason = refusalReason(launch);
      if (reason !== undefined) return Promise.resolve({ kind: "refused", reason });
      const id = `w-${launch.token}`;
      instanceByToken.set(launch.token, id);
      void startWorker(launch, id);
      return Promise.resolve({ kind: "launched", instance: id });
    },
    terminate: removeInstance,
    notices: () =>
      [...reclaimTimes].map(([instance, at]) => ({
        instance,
        within: Math.max(0, at - clock.now()),
      })),
    list: () => {
      const visible = snapshots.findLastIndex(({ at }) => at <= clock.now() - listLag);
      snapshots = snapshots.slice(Math.max(0, visible));
      return snapshots[0]?.workers ?? [];
    },
    reclaim: (reclaim) => {
      const names = instancesToReclaim(reclaim).filter((name) => !reclaimTimes.has(name));
      for (const name of names) scheduleReclaim(name, reclaim.within);
      return names;
    },
    refuse: ({ zone = ALL_ZONES, refuse }) => {
      if (refuse) refusingZones.add(zone);
      else refusingZones.delete(zone);
    },
    close: () => {
      isClosed = true;
    },
  };
}

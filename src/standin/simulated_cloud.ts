import { WorkerState } from "../interface/index.ts";
import type { Clock, Launch, LaunchOutcome, Notice, Worker } from "../interface/index.ts";

/** An entry instance that the cloud can take back. */
export interface EntryPlace {
  /** The instance's name, without its incarnation. */
  readonly name: string;
  readonly zone: string;
}

/** What the cloud stand-in is made with. */
export interface CloudOptions {
  readonly clock: Clock;
  /** The workers that it begins with. */
  readonly workers: readonly Worker[];
  /** Entry instances that stand in its zones; none if absent. */
  readonly entries?: readonly EntryPlace[];
  /** Milliseconds by which the list of workers lags; none if absent. */
  readonly listLag?: number;
  /** Starts a backend server for a launch and resolves with its address; launches are refused if absent. */
  readonly launch?: (launch: Launch, worker: string) => Promise<string>;
  /** Called when an instance is taken or terminated. */
  readonly taken?: (instance: string) => void;
}

/** What is taken back: one instance by name or worker id, or all that stand in a zone. */
export type ReclaimTarget =
  | { readonly instance: string; readonly within: number }
  | { readonly zone: string; readonly within: number };

/** The cloud stand-in's instances. */
export interface SimulatedCloud {
  launch(launch: Launch): Promise<LaunchOutcome>;
  /** False where there is no such instance. */
  terminate(instance: string): boolean;
  notices(): readonly Notice[];
  /** The workers as the lagging list shows them. */
  list(): readonly Worker[];
  /** Gives notice; the instances are taken when the time is over. Returns their names. */
  reclaim(reclaim: ReclaimTarget): readonly string[];
  /** From now on launches in a zone are refused, or taken again; all zones where none is named. */
  refuse(refusal: { readonly zone?: string; readonly refuse: boolean }): void;
  close(): void;
}

interface Snapshot {
  readonly at: number;
  readonly workers: readonly Worker[];
}

const ALL_ZONES = "*";

/** Makes the table. */
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
    settings.taken?.(instance);
    return true;
  };
  const refusalReason = ({ zone }: Launch): string | undefined => {
    if (settings.launch === undefined) return "This cloud launches nothing.";
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
    // It may have been taken back while it started.
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

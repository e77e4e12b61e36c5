import { WorkerState } from "../interface/index.ts";
import type { Clock, Launch, LaunchOutcome, Notice, Worker } from "../interface/index.ts";

/** An entry instance that the cloud can take back. */
export interface EntryPlace {
  /** The instance's name, without its incarnation. */
  readonly name: string;
  readonly zone: string;
}

/** What the cloud stand-in is made with. */
export interface CloudStandin {
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
export type Reclaim =
  | { readonly instance: string; readonly within: number }
  | { readonly zone: string; readonly within: number };

/** The cloud stand-in's instances. */
export interface CloudTable {
  launch(launch: Launch): Promise<LaunchOutcome>;
  /** False where there is no such instance. */
  terminate(instance: string): boolean;
  notices(): readonly Notice[];
  /** The workers as the lagging list shows them. */
  list(): readonly Worker[];
  /** Gives notice; the instances are taken when the time is over. Returns their names. */
  reclaim(reclaim: Reclaim): readonly string[];
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
export function createCloudTable(settings: CloudStandin): CloudTable {
  const { clock, listLag = 0 } = settings;
  const workers = new Map(settings.workers.map((worker) => [worker.id, worker]));
  const entries = new Map((settings.entries ?? []).map((entry) => [entry.name, entry]));
  const takenAt = new Map<string, number>();
  const byToken = new Map<string, string>();
  const refusing = new Set<string>();
  let snapshots: Snapshot[] = [{ at: Number.NEGATIVE_INFINITY, workers: settings.workers }];
  let closed = false;

  const note = (): void => {
    snapshots.push({ at: clock.now(), workers: [...workers.values()] });
  };
  const put = (worker: Worker): void => {
    workers.set(worker.id, worker);
    note();
  };
  const remove = (instance: string): boolean => {
    takenAt.delete(instance);
    const isKnown = workers.delete(instance) || entries.delete(instance);
    if (!isKnown || closed) return false;
    note();
    settings.taken?.(instance);
    return true;
  };
  const refusalOf = ({ zone }: Launch): string | undefined => {
    if (settings.launch === undefined) return "This cloud launches nothing.";
    const isRefused = refusing.has(zone) || refusing.has(ALL_ZONES);
    return isRefused ? `No capacity in ${zone}.` : undefined;
  };
  const begin = async (launch: Launch, id: string): Promise<void> => {
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
    put(worker);
    const address = await settings.launch?.(launch, id);
    // It may have been taken back while it started.
    if (address !== undefined && workers.has(id)) {
      put({ ...worker, address, state: WorkerState.Live });
    }
  };
  const mark = (instance: string, within: number): void => {
    const at = clock.now() + within;
    takenAt.set(instance, at);
    const worker = workers.get(instance);
    if (worker !== undefined) put({ ...worker, state: WorkerState.Leaving, reclaimAt: at });
    clock.after(within, () => remove(instance));
  };
  const namesOf = (reclaim: Reclaim): readonly string[] => {
    if ("instance" in reclaim) {
      const { instance } = reclaim;
      return workers.has(instance) || entries.has(instance) ? [instance] : [];
    }
    const inZone = [...workers.values()].filter(({ zone }) => zone === reclaim.zone);
    const entriesInZone = [...entries.values()].filter(({ zone }) => zone === reclaim.zone);
    return [...inZone.map(({ id }) => id), ...entriesInZone.map(({ name }) => name)];
  };
  return {
    launch: (launch) => {
      const known = byToken.get(launch.token);
      if (known !== undefined) return Promise.resolve({ kind: "launched", instance: known });
      const reason = refusalOf(launch);
      if (reason !== undefined) return Promise.resolve({ kind: "refused", reason });
      const id = `w-${launch.token}`;
      byToken.set(launch.token, id);
      void begin(launch, id);
      return Promise.resolve({ kind: "launched", instance: id });
    },
    terminate: remove,
    notices: () =>
      [...takenAt].map(([instance, at]) => ({ instance, within: Math.max(0, at - clock.now()) })),
    list: () => {
      const seen = snapshots.findLastIndex(({ at }) => at <= clock.now() - listLag);
      snapshots = snapshots.slice(Math.max(0, seen));
      return snapshots[0]?.workers ?? [];
    },
    reclaim: (reclaim) => {
      const names = namesOf(reclaim).filter((name) => !takenAt.has(name));
      for (const name of names) mark(name, reclaim.within);
      return names;
    },
    refuse: ({ zone = ALL_ZONES, refuse }) => {
      if (refuse) refusing.add(zone);
      else refusing.delete(zone);
    },
    close: () => {
      closed = true;
    },
  };
}

import type {
  LimitReport,
  RunCounts,
  WorkerLimits,
  WorkerRooms,
  WorkerSpeeds,
} from "../decision/index.ts";
import type { RoutedWorker, WorkerEndpoint } from "../interface/index.ts";
import type { WorkerLoads, WorkerStatement } from "../request/index.ts";
import { hashText } from "../version/index.ts";
import { NO_WORKER_COUNTS } from "./digest.ts";
import type { InstanceUpdate, WorkerCounts } from "./digest.ts";
import type { LongPromptWorkers } from "./long_prompt_workers.ts";
import { createPeerOccupancy } from "./peer_occupancy.ts";
import type { Occupancy } from "./peer_occupancy.ts";
import type { RolloutView } from "./rollout_view.ts";
import type { RoutedStatus } from "./routed_status.ts";
import { createServiceBrittleness } from "./service_brittleness.ts";
import { createServiceTimings } from "./service_timings.ts";
import { createWorkerSelection } from "./worker_selection.ts";
import type { WorkerEntry, WorkerSelectionParts } from "./worker_selection.ts";
import { createWorkerRuns } from "./worker_runs.ts";
import type { TrackedChange } from "./worker_runs.ts";
import { createWorkerStatements, idOfStartKey, startKey } from "./worker_statements.ts";

/** The worker table of an instance: the workers, their load from all instances, health and limits. */
export interface RoutedWorkerTable extends WorkerLoads {
  /** Replaces the workers by those registered in the store. */
  setWorkers(workers: readonly RoutedWorker[]): void;
  /** Lists the registered workers. Those that announced only in responses that they leave are marked as leaving, too. */
  workers(): readonly RoutedWorker[];
  /** Returns the load of each of the service's workers from all instances. */
  loads(service: string): Occupancy[];
  /**
   * Applies another instance's load at workers: a complete snapshot if `isSnapshot`, otherwise only the workers that
   * changed.
   */
  updateOccupancy(
    instance: string,
    update: Pick<InstanceUpdate, "workerCounts" | "isSnapshot">,
  ): void;
  /** Marks workers as leaving that another instance reported, in the form that `leaving` returns, registered or not. */
  markLeaving(leaving: readonly string[]): void;
  /** Records what a worker has stated about itself in a response to this instance. */
  recordStatement(
    worker: Pick<WorkerEndpoint, "id" | "startedAt">,
    statement: WorkerStatement,
  ): void;
  /** Returns the known rate limits of workers, to be sent to other instances. */
  recentLimitReports(): readonly LimitReport[];
  /** Applies rate limits received from another instance. */
  updateLimits(reports: readonly LimitReport[]): void;
  /** Returns the rates at which brittle workers may be tried, to be sent to other instances. */
  recentTryReports(): readonly LimitReport[];
  /** Applies such rates received from another instance. */
  updateTries(reports: readonly LimitReport[]): void;
  /** Removes the load of all instances except these, because the requests of a stopped instance have ended. */
  retainInstances(instances: ReadonlySet<string>): void;
  /** Returns this instance's own load and run counts, by the hashes of the worker ids. */
  ownCounts(): ReadonlyMap<number, WorkerCounts>;
  /** Returns the status of every worker, for operators. */
  overview(): RoutedStatus["workers"];
  /** Whether a worker is leaving or no longer registered. */
  isLeaving(id: string): boolean;
  /** Lists the leaving workers as `ID@START`, because a restarted worker may have the same id. */
  leaving(): readonly string[];
  /** Cancels all timers. */
  close(): void;
}

/** A change of the rate limit that a worker states. */
export interface LimitChange {
  /** Id of the worker; empty if it isn't registered yet. */
  readonly worker: string;
  /** Maximum requests per second from all instances together; undefined if the limit was lifted. */
  readonly limit: number | undefined;
  /** Whether the limit comes from an answer to this instance and not from another instance. */
  readonly isOwn: boolean;
}

/** A change of whether a worker ends if it has to reject too much. */
export interface BrittlenessChange {
  /** Id of the worker; empty if it isn't registered yet. */
  readonly worker: string;
  readonly isBrittle: boolean;
  /** Whether it comes from a response to this instance and not from another instance. */
  readonly isOwn: boolean;
}

/** The announcement of a worker that it is leaving. */
export interface LeavingAnnouncement {
  /** The worker's id. */
  readonly worker: string;
  /** Whether it comes from a response to this instance and not from another instance. */
  readonly isOwn: boolean;
}

/** Dependencies of the worker table. */
export interface RoutedWorkerTableParts extends Pick<
  WorkerSelectionParts,
  "clock" | "random" | "zone" | "health" | "instanceCount" | "updateAge"
> {
  /** Separates long prompts from others. No prompts are separated if undefined. */
  readonly longPrompts?:
    | Pick<LongPromptWorkers<WorkerEntry>, "partFor" | "recordRun" | "select" | "separates">
    | undefined;
  /** Returns the time synchronized across instances, in milliseconds since the Unix epoch. */
  readonly time: () => number;
  /** Rate limits of workers. Must use the same `time`. */
  readonly limits: WorkerLimits;
  /** The rooms of brittle workers. Must use the same `time`. */
  readonly rooms: WorkerRooms;
  /** Measures the speeds of workers with engines. All workers are equally fast if undefined. */
  readonly speeds?: WorkerSpeeds | undefined;
  /** Called when a worker becomes brittle or is no longer. */
  readonly onBrittleness?: ((change: BrittlenessChange) => void) | undefined;
  /** Called when a worker's rate limit is set, changed or lifted. */
  readonly onLimit?: ((change: LimitChange) => void) | undefined;
  /** Called when a registered worker is first found to be leaving by other means than its registration. */
  readonly onLeaving?: ((announcement: LeavingAnnouncement) => void) | undefined;
  /** Called when a worker without a pause asks for one, with its duration in milliseconds. */
  readonly onPause?: ((pause: { worker: string; duration: number }) => void) | undefined;
  /**
   * Finds out whether a missing response is due to the path from this instance to the worker. All of them count as the
   * worker's failures if undefined.
   */
  readonly hasLostPath?: ((worker: WorkerEndpoint) => Promise<boolean>) | undefined;
  /** Called when a run begins. */
  readonly onBegin: () => void;
  /** Returns further counts of this instance that are sent to others together with the workers' run counts. */
  readonly extraCounts?: (() => ReadonlyMap<number, RunCounts>) | undefined;
  /** Decides which versions receive requests. All versions do if undefined. */
  readonly versions?: Pick<RolloutView, "admitting" | "begin" | "counts"> | undefined;
}

/** Time before the end of a leaving worker at which its remaining runs move to another one, in milliseconds. */
const LEAVE_MARGIN = 450;

/**
 * Creates a table without workers.
 *
 * All instances send requests to the same workers. Each one adds its own running requests to those reported by the
 * other instances, so that together they don't overload a worker.
 */
export function createRoutedWorkerTable(parts: RoutedWorkerTableParts): RoutedWorkerTable {
  const { clock, health, versions, speeds } = parts;
  const { limits, onLimit = () => undefined, onLeaving = () => undefined } = parts;
  const { rooms, onPause = () => undefined, onBrittleness = () => undefined } = parts;
  const statements = createWorkerStatements({ clock });
  const brittleness = createServiceBrittleness(parts.time);
  const { extraCounts = () => new Map<number, RunCounts>() } = parts;
  const entries = new Map<string, WorkerEntry>();
  /** Entries by service, because each request iterates over those of one service. */
  let byService: ReadonlyMap<string, readonly WorkerEntry[]> = new Map();
  const entriesOf = (service: string): readonly WorkerEntry[] => byService.get(service) ?? [];
  const peerOccupancy = createPeerOccupancy();
  const timings = createServiceTimings();

  const scheduleLeave = (entry: WorkerEntry): void => {
    if (entry.leaveTimer !== undefined || entry.worker.leavesIn === undefined) return;
    const left = Math.max(0, entry.worker.leavesIn - (clock.now() - entry.seenAt) - LEAVE_MARGIN);
    entry.leaveTimer = clock.after(left, () => {
      for (const listener of [...entry.leaveListeners]) listener();
    });
  };
  const updatedEntry = (worker: RoutedWorker): WorkerEntry => {
    const known = entries.get(worker.id);
    const isSameProcess = known?.worker.startedAt === worker.startedAt;
    const key = startKey(worker);
    const isLeaving =
      worker.isLeaving || (isSameProcess && known.isLeaving) || statements.isLeaving(key);
    if (isLeaving) statements.recordLeaving(key);
    const hasChanged = !isSameProcess || known.worker.isLeaving !== worker.isLeaving;
    return {
      worker,
      hash: known?.hash ?? hashText(worker.id),
      seenAt: hasChanged ? clock.now() : known.seenAt,
      running: isSameProcess ? known.running : 0,
      unreadTokens: isSameProcess ? known.unreadTokens : 0,
      pausedUntil: isSameProcess ? known.pausedUntil : 0,
      requestedPauseUntil: statements.pausedUntil(key),
      isLeaving,
      leaveListeners: isSameProcess ? known.leaveListeners : new Set(),
      leaveTimer: isSameProcess ? known.leaveTimer : undefined,
    };
  };
  /** Returns the entry of a worker's process, identified as by `startKey`, if it is registered. */
  const entryOfProcess = (key: string): WorkerEntry | undefined => {
    const entry = entries.get(idOfStartKey(key));
    return entry !== undefined && startKey(entry.worker) === key ? entry : undefined;
  };
  const recordLeaving = (key: string, isOwn: boolean): void => {
    if (!statements.recordLeaving(key)) return;
    const entry = entryOfProcess(key);
    if (entry === undefined) return;
    entry.isLeaving = true;
    onLeaving({ worker: entry.worker.id, isOwn });
  };
  const recordPause = (key: string, duration: number): void => {
    statements.recordPause(key, duration);
    const entry = entryOfProcess(key);
    if (entry === undefined) return;
    if (entry.requestedPauseUntil <= clock.now()) onPause({ worker: entry.worker.id, duration });
    entry.requestedPauseUntil = statements.pausedUntil(key);
  };
  const loadAt = ({ hash, running, unreadTokens }: WorkerEntry): Occupancy => {
    const other = peerOccupancy.at(hash);
    return { running: running + other.running, unreadTokens: unreadTokens + other.unreadTokens };
  };
  const selection = createWorkerSelection({
    ...parts,
    entriesOf,
    loadAt,
    peerLoadAt: (hash) => peerOccupancy.at(hash),
    timing: (service) => timings.of(service),
  });
  /** Returns the id of the worker with this hash; empty if it isn't registered yet. */
  const idOf = (hash: number): string =>
    [...entries.values()].find((entry) => entry.hash === hash)?.worker.id ?? "";
  /** Runs an action and calls `onLimit` if it changed the worker's limit. */
  const trackLimit: TrackedChange = ({ hash, isOwn }, action) => {
    const before = limits.limitOf(hash);
    action();
    const limit = limits.limitOf(hash);
    if (limit === before) return;
    onLimit({ worker: idOf(hash), limit, isOwn });
  };
  /** The same for `onBrittleness`. */
  const trackBrittleness: TrackedChange = ({ hash, isOwn }, action) => {
    const before = rooms.isBrittle(hash);
    action();
    const isBrittle = rooms.isBrittle(hash);
    if (isBrittle !== before) onBrittleness({ worker: idOf(hash), isBrittle, isOwn });
  };
  const runs = createWorkerRuns({
    ...parts,
    entries,
    loadAt,
    timings,
    trackLimit,
    trackBrittleness,
  });
  const timeUntilCapacity: RoutedWorkerTable["timeUntilCapacity"] = ({ name }) => {
    const now = clock.now();
    const staying = entriesOf(name).filter(({ isLeaving }) => !isLeaving);
    const isPaused = ({ requestedPauseUntil }: WorkerEntry): boolean => requestedPauseUntil > now;
    const paused = staying.filter(isPaused);
    const limited = staying.filter((entry) => !isPaused(entry));
    const timeToSlot = limits.timeToNextSlot(limited.map(({ hash }) => hash)) ?? Infinity;
    const pauseLeft = paused.map(({ requestedPauseUntil }) => requestedPauseUntil - now);
    // A place at a brittle worker becomes free with the next run that ends.
    const timeToPlace = limited.some(({ hash }) => rooms.isBrittle(hash)) ? 0 : Infinity;
    const shortest = Math.min(timeToSlot, timeToPlace, ...pauseLeft);
    return shortest === Infinity ? undefined : shortest;
  };
  const recordBrittleness = (): void => {
    for (const { hash, worker } of entries.values()) {
      const survives = rooms.survives(hash);
      if (survives !== undefined) brittleness.record(worker.service, survives);
    }
  };
  /** Forgets what an earlier process has stated, and expects that the new one is as brittle as its service. */
  const beginProcess = ({ hash, worker: { service } }: WorkerEntry): void => {
    for (const known of [limits, rooms]) known.forget(hash);
    const survives = brittleness.expected(service);
    if (survives === undefined) return;
    trackBrittleness({ hash, isOwn: false }, () =>
      rooms.recordAnswer(hash, { survives, sentAt: parts.time() }),
    );
  };
  return {
    candidates: (service) => selection.candidates(service),
    hasVersion: (service, version) => selection.hasVersion(service, version),
    timeUntilCapacity,
    sample: (service, prompt) => selection.sample(service, prompt),
    begin: runs.begin,
    timing: (service) => timings.of(service),
    onLeaving: (id, listener) => {
      const entry = entries.get(id);
      entry?.leaveListeners.add(listener);
      return { close: () => void entry?.leaveListeners.delete(listener) };
    },
    setWorkers: (workers) => {
      const kept = new Set(workers.map(({ id }) => id));
      recordBrittleness();
      for (const [id, entry] of entries) {
        if (kept.has(id)) continue;
        entry.leaveTimer?.close();
        entries.delete(id);
      }
      for (const worker of workers) {
        const entry = updatedEntry(worker);
        const isSameProcess = entries.get(worker.id)?.worker.startedAt === worker.startedAt;
        entries.set(worker.id, entry);
        if (!isSameProcess) beginProcess(entry);
        if (entry.isLeaving) scheduleLeave(entry);
      }
      byService = groupByService(entries.values());
      speeds?.setWorkers([...entries.values()].map(({ worker, hash }) => ({ ...worker, hash })));
      const hashes = new Set([...entries.values()].map(({ hash }) => hash));
      health.retainWorkers(hashes);
      limits.retainWorkers(hashes);
      rooms.retainWorkers(hashes);
    },
    workers: () => [...entries.values()].map(({ worker, isLeaving }) => ({ ...worker, isLeaving })),
    loads: (service) => entriesOf(service).map(loadAt),
    updateOccupancy: (instance, update) => peerOccupancy.update(instance, update),
    markLeaving: (leaving) => {
      for (const worker of leaving) recordLeaving(worker, false);
    },
    recordStatement: (worker, { isLeaving, pause }) => {
      if (isLeaving) recordLeaving(startKey(worker), true);
      if (pause > 0) recordPause(startKey(worker), pause);
    },
    recentLimitReports: () => limits.recentReports(),
    updateLimits: (reports) => {
      for (const report of reports) {
        trackLimit({ hash: report.worker, isOwn: false }, () => limits.receiveReport(report));
      }
    },
    recentTryReports: () => rooms.recentReports(),
    updateTries: (reports) => {
      for (const report of reports) {
        trackBrittleness({ hash: report.worker, isOwn: false }, () => rooms.receiveReport(report));
      }
    },
    retainInstances: (instances) => peerOccupancy.retainInstances(instances),
    ownCounts: () => {
      const countsByHash = new Map<number, WorkerCounts>();
      for (const { hash, running, unreadTokens } of entries.values()) {
        const { runs, failures } = health.ownCounts(hash);
        if (running > 0 || runs > 0)
          countsByHash.set(hash, { running, unreadTokens, runs, failures });
      }
      for (const counts of [versions?.counts() ?? [], extraCounts()]) {
        for (const [key, count] of counts) countsByHash.set(key, { ...NO_WORKER_COUNTS, ...count });
      }
      return countsByHash;
    },
    overview: () => {
      const partOf = new Map([...byService.keys()].map((name) => [name, selection.partsOf(name)]));
      return [...entries.values()].map((entry) => {
        const { id, service, version, zone: workerZone, purchase } = entry.worker;
        const { running } = loadAt(entry);
        const failing = health.excessFailureRate(entry.hash, service, clock.now());
        const leaving = entry.isLeaving;
        const limit = limits.limitOf(entry.hash);
        const slowness = speeds?.slowness(entry.hash, clock.now()) ?? 1;
        return {
          id,
          service,
          version,
          zone: workerZone,
          purchase,
          leaving,
          running,
          failing,
          slowness,
          limit,
          part: partOf.get(service)?.(entry),
        };
      });
    },
    isLeaving: (id) => entries.get(id)?.isLeaving ?? true,
    leaving: () =>
      [...entries.values()]
        .filter(({ isLeaving }) => isLeaving)
        .map(({ worker }) => startKey(worker)),
    close: () => {
      for (const { leaveTimer } of entries.values()) leaveTimer?.close();
    },
  };
}

function groupByService(
  entries: Iterable<WorkerEntry>,
): ReadonlyMap<string, readonly WorkerEntry[]> {
  const groups = new Map<string, WorkerEntry[]>();
  for (const entry of entries) {
    const group = groups.get(entry.worker.service) ?? [];
    groups.set(entry.worker.service, group);
    group.push(entry);
  }
  return groups;
}

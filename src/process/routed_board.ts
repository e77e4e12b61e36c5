import { comparedWorkers, createReadRate, sum } from "../decision/index.ts";
import type {
  LimitStatement,
  ReadRate,
  RunCounts,
  ServiceSpeed,
  WorkerHealth,
  WorkerLimits,
} from "../decision/index.ts";
import type { Clock, Random, RoutedWorker, Timer } from "../interface/index.ts";
import { RunResult } from "../request/routed_context.ts";
import type { BoardWorker, WorkerBoard } from "../request/index.ts";
import { hashText } from "../version/index.ts";
import type { RoutedService } from "../version/index.ts";
import { NO_USE } from "./digest.ts";
import type { InstanceNews, WorkerUse } from "./digest.ts";
import { createOthersUse } from "./others_use.ts";
import type { Occupancy } from "./others_use.ts";
import type { RolloutView } from "./rollout_view.ts";
import type { RoutedStatus } from "./routed_status.ts";

/** The board with what fills it. */
export interface RoutedBoard extends WorkerBoard {
  /** Takes the workers as the store has them now. */
  setWorkers(workers: readonly RoutedWorker[]): void;
  workers(): readonly RoutedWorker[];
  /** What all instances have at each of the service's workers. */
  loads(service: string): Occupancy[];
  /** What another instance has at workers; nothing has changed at those that it doesn't name, unless that is all. */
  heard(instance: string, news: Pick<InstanceNews, "use" | "isWhole">): void;
  /** Other instances know that these workers leave; each is named with its start, as by `leaving`. */
  heardLeaving(leaving: readonly string[]): void;
  /** What is told to others of how much workers take, and what others tell of it. */
  limitStatements(): readonly LimitStatement[];
  heardLimits(statements: readonly LimitStatement[]): void;
  /** Forgets instances that weren't heard for a while: what they had at workers has ended. */
  keepInstances(instances: ReadonlySet<string>): void;
  /** What this instance has at the workers, by the hashes of their ids. */
  use(): ReadonlyMap<number, WorkerUse>;
  /** Every worker with what runs there. */
  overview(): RoutedStatus["workers"];
  /** Whether a worker is known to leave, or to be gone. */
  isLeaving(id: string): boolean;
  /** Workers that are known to leave, each with its start: a restarted one may have the same id. */
  leaving(): readonly string[];
  close(): void;
}

/** What a worker says of how much it takes has changed. */
export interface LimitChange {
  /** Its id; empty where its entry isn't known yet. */
  readonly worker: string;
  /** Requests a second from all instances together; undefined where it names none any more. */
  readonly limit: number | undefined;
  /** Whether the worker itself said so here, and not another instance. */
  readonly isOwn: boolean;
}

/** What the board is made with. */
export interface RoutedBoardParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly zone: string;
  readonly health: WorkerHealth;
  /** How many instances share the workers' connections. */
  readonly members: () => number;
  /** How old what others say is on average, in milliseconds. */
  readonly newsAge: () => number;
  /** The time of day that the instances agree on, in milliseconds since 1970. */
  readonly time: () => number;
  /** What workers take; its time is the same. */
  readonly limits: WorkerLimits;
  /** A worker has begun or ceased to name a limit, or names another. */
  readonly onLimit?: ((change: LimitChange) => void) | undefined;
  /** A run has begun. */
  readonly onBegin: () => void;
  /** What this instance has counted beside its workers' runs, for the others. */
  readonly counted?: (() => ReadonlyMap<number, RunCounts>) | undefined;
  /** Which versions are served; undefined where workers of any version serve. */
  readonly versions?: Pick<RolloutView, "admitting" | "begin" | "counts"> | undefined;
}

/** What a run's end says of its worker, and of the worker's version. */
const TALLIED: Readonly<Record<RunResult, "well" | "failed" | "unknown">> = {
  [RunResult.Answered]: "well",
  [RunResult.Failed]: "failed",
  [RunResult.Refused]: "unknown",
  [RunResult.Unreachable]: "failed",
  [RunResult.Replaced]: "unknown",
  [RunResult.Abandoned]: "unknown",
};
/** Milliseconds that a run takes until any was seen. */
const FIRST_RUN_TIME = { engine: 2_000, plain: 50 };
/** The weight of the newest run in the mean. */
const NEWEST_PART = 0.05;
/** The part of a worker's connections that the instances use together. */
const CONNECTION_PART = 0.9;
/** How long a worker gets nothing after such a run, in milliseconds: one that ended may be back under its id. */
const PAUSES: Partial<Record<RunResult, number>> = {
  [RunResult.Replaced]: 60_000,
  [RunResult.Unreachable]: 500,
};
/** Milliseconds for which what begins unseen is taken to stay the same. */
const UNSEEN_LIFE = 100;
/** How long before the end of a leaving worker what still runs there goes on elsewhere, in milliseconds. */
const LEAVE_MARGIN = 450;

interface Entry {
  readonly worker: RoutedWorker;
  readonly hash: number;
  readonly seenAt: number;
  running: number;
  unreadTokens: number;
  pausedUntil: number;
  isLeaving: boolean;
  readonly leaveListeners: Set<() => void>;
  leaveTimer: Timer | undefined;
}

/** Makes an empty board. */
export function createRoutedBoard(parts: RoutedBoardParts): RoutedBoard {
  const { clock, random, zone, health, members, newsAge, onBegin, versions } = parts;
  const { time, limits, onLimit = () => undefined } = parts;
  const { counted = () => new Map<number, RunCounts>() } = parts;
  const entries = new Map<string, Entry>();
  /** The same by service: every request looks through those of one. */
  let byService: ReadonlyMap<string, readonly Entry[]> = new Map();
  const entriesOf = (service: string): readonly Entry[] => byService.get(service) ?? [];
  const others = createOthersUse();
  const runTimes = new Map<string, number>();
  const unseenOf = new Map<string, { unseen: number; at: number }>();
  const readRates = new Map<string, ReadRate>();
  const readRate = (service: string): ReadRate => {
    const known = readRates.get(service) ?? createReadRate();
    readRates.set(service, known);
    return known;
  };

  const announceLeave = (entry: Entry): void => {
    if (entry.leaveTimer !== undefined || entry.worker.leavesIn === undefined) return;
    const left = Math.max(0, entry.worker.leavesIn - (clock.now() - entry.seenAt) - LEAVE_MARGIN);
    entry.leaveTimer = clock.after(left, () => {
      for (const listener of [...entry.leaveListeners]) listener();
    });
  };
  const entryOf = (worker: RoutedWorker): Entry => {
    const known = entries.get(worker.id);
    const isSame = known?.worker.born === worker.born;
    const isLeaving = worker.isLeaving || (isSame && known.isLeaving);
    const changed = !isSame || known.worker.isLeaving !== worker.isLeaving;
    return {
      worker,
      hash: known?.hash ?? hashText(worker.id),
      seenAt: changed ? clock.now() : known.seenAt,
      running: isSame ? known.running : 0,
      unreadTokens: isSame ? known.unreadTokens : 0,
      pausedUntil: isSame ? known.pausedUntil : 0,
      isLeaving,
      leaveListeners: isSame ? known.leaveListeners : new Set(),
      leaveTimer: isSame ? known.leaveTimer : undefined,
    };
  };
  const loadAt = ({ hash, running, unreadTokens }: Entry): Occupancy => {
    const other = others.at(hash);
    return { running: running + other.running, unreadTokens: unreadTokens + other.unreadTokens };
  };
  /** Calls what may change a worker's limit, and tells whether it did. */
  const noteLimit = ({ hash, isOwn }: { hash: number; isOwn: boolean }, act: () => void): void => {
    const before = limits.limitOf(hash);
    act();
    const limit = limits.limitOf(hash);
    if (limit === before) return;
    const worker = [...entries.values()].find((entry) => entry.hash === hash)?.worker.id ?? "";
    onLimit({ worker, limit, isOwn });
  };
  const taking = (service: RoutedService, now: number): Entry[] =>
    entriesOf(service.name).filter(
      ({ hash, isLeaving, pausedUntil }) =>
        !isLeaving && now >= pausedUntil && limits.mayTake(hash),
    );
  const usable = (service: RoutedService, now: number): Entry[] => {
    const entriesNow = taking(service, now);
    const admission = versions?.admitting(service.name);
    if (admission === undefined) return entriesNow;
    return entriesNow.filter(({ worker }) => admission.serves(worker));
  };
  /** Workers on trial that are to get the next request: those that have no more to do than the others on average. */
  const onTrial = (service: RoutedService, now: number): Entry[] => {
    const admission = versions?.admitting(service.name);
    if (admission === undefined || admission.onTrial.size === 0) return [];
    const entriesNow = taking(service, now);
    const serving = entriesNow.filter(({ worker }) => admission.serves(worker)).map(loadAt);
    const most = {
      running: sum(serving.map(({ running }) => running)) / Math.max(1, serving.length),
      unread: sum(serving.map((load) => load.unreadTokens)) / Math.max(1, serving.length),
    };
    return entriesNow.filter((entry) => {
      if (!admission.onTrial.has(entry.worker.id)) return false;
      const { running, unreadTokens } = loadAt(entry);
      return running <= most.running && unreadTokens <= most.unread;
    });
  };
  const mostConnections = ({ maxConnections }: RoutedService): number =>
    Math.max(1, Math.floor((maxConnections * CONNECTION_PART) / members()));
  const boardWorker = (entry: Entry, most: number, now: number): BoardWorker => {
    const { worker, hash } = entry;
    return {
      id: worker.id,
      hash,
      ...loadAt(entry),
      slots: worker.slots,
      failing: health.excess(hash, worker.service, now),
      sameZone: worker.zone === zone,
      coldFor: Math.max(0, worker.coldFor - (now - entry.seenAt)),
      address: worker.address,
      service: worker.service,
      mostConnections: most,
    };
  };
  const candidates = (service: RoutedService): BoardWorker[] => {
    const now = clock.now();
    const most = mostConnections(service);
    return usable(service, now).map((entry) => boardWorker(entry, most, now));
  };
  // Every request passes through here: what it is compared on is drawn before anything is made of it.
  const compared: RoutedBoard["compared"] = (service, parts) => {
    const now = clock.now();
    const tried = onTrial(service, now);
    if (tried.length > 0) {
      const most = mostConnections(service);
      return { workers: tried.map((entry) => boardWorker(entry, most, now)), homes: new Map() };
    }
    const unseenNow = unseen(service, now);
    if (unseenNow === 0) {
      return comparedWorkers(candidates(service), { unseen: unseenNow, parts, random });
    }
    const most = mostConnections(service);
    const entriesNow = usable(service, now);
    const drawn = comparedWorkers(entriesNow, { unseen: unseenNow, parts, random });
    const made = new Map(drawn.workers.map((entry) => [entry, boardWorker(entry, most, now)]));
    const homes = new Map<BoardWorker, number>();
    for (const [entry, chance] of drawn.homes) {
      const worker = made.get(entry);
      if (worker !== undefined) homes.set(worker, chance);
    }
    return { workers: [...made.values()], homes };
  };
  /** How many runs the others begin at a worker of the service before this instance hears of them, on average. */
  const unseen = (service: RoutedService, now: number): number => {
    const age = newsAge();
    if (age === 0) return 0;
    const known = unseenOf.get(service.name);
    if (known !== undefined && now - known.at < UNSEEN_LIFE) return known.unseen;
    const workers = entriesOf(service.name);
    // What runs is what begins times how long it takes.
    const running = sum(workers.map(({ hash }) => others.at(hash).running));
    const found = (running * age) / Math.max(1, speed(service).runTime * workers.length);
    unseenOf.set(service.name, { unseen: found, at: now });
    return found;
  };
  const begin: RoutedBoard["begin"] = (place, { reads, route }) => {
    const { id, hash, service, unreadTokens, coldFor } = place;
    const startedAt = clock.now();
    const sentAt = time();
    const there = entries.get(id)?.worker;
    const unreadThere = unreadTokens + reads;
    const tally =
      there === undefined
        ? undefined
        : versions?.begin({ worker: there, route, reads: unreadThere, isCold: coldFor > 0 });
    const change = (by: number, tokensBy: number): void => {
      const entry = entries.get(id);
      if (entry === undefined) return;
      entry.running = Math.max(0, entry.running + by);
      entry.unreadTokens = Math.max(0, entry.unreadTokens + tokensBy);
    };
    let unread = reads;
    const stopReading = (): void => {
      change(0, -unread);
      unread = 0;
    };
    change(1, reads);
    limits.took(hash);
    onBegin();
    return {
      answering: (limit) => {
        noteLimit({ hash, isOwn: true }, () => limits.answered(hash, { perSecond: limit, sentAt }));
      },
      read: () => {
        const now = clock.now();
        readRate(service).observe({ tokens: unreadThere, took: now - startedAt });
        tally?.answered(now);
        stopReading();
      },
      end: (result) => {
        stopReading();
        change(-1, 0);
        const now = clock.now();
        const entry = entries.get(id);
        if (result === RunResult.Answered) {
          noteTime(service, now - startedAt);
          tally?.answered(now);
        }
        const tallied = TALLIED[result];
        tally?.ended(tallied);
        if (tallied !== "unknown") {
          health.ended({ worker: hash, service, failed: tallied === "failed", now });
        }
        const pause = PAUSES[result];
        if (pause !== undefined && entry !== undefined) entry.pausedUntil = now + pause;
      },
    };
  };
  const noteTime = (service: string, took: number): void => {
    const before = runTimes.get(service) ?? took;
    runTimes.set(service, before + (took - before) * NEWEST_PART);
  };
  const speed = ({ name, engine }: RoutedService): ServiceSpeed => ({
    readRate: engine === undefined ? undefined : readRate(name).value,
    runTime:
      runTimes.get(name) ?? (engine === undefined ? FIRST_RUN_TIME.plain : FIRST_RUN_TIME.engine),
  });
  return {
    candidates,
    opensIn: ({ name }) => limits.opensIn(entriesOf(name).map(({ hash }) => hash)),
    compared,
    begin,
    speed,
    onLeaving: (id, listener) => {
      const entry = entries.get(id);
      entry?.leaveListeners.add(listener);
      return { close: () => void entry?.leaveListeners.delete(listener) };
    },
    setWorkers: (workers) => {
      const kept = new Set(workers.map(({ id }) => id));
      for (const [id, entry] of entries) {
        if (kept.has(id)) continue;
        entry.leaveTimer?.close();
        entries.delete(id);
      }
      for (const worker of workers) {
        const entry = entryOf(worker);
        if (entries.get(worker.id)?.worker.born !== worker.born) limits.forget(entry.hash);
        entries.set(worker.id, entry);
        if (entry.isLeaving) announceLeave(entry);
      }
      byService = groupByService(entries.values());
      const hashes = new Set([...entries.values()].map(({ hash }) => hash));
      health.keepOnly(hashes);
      limits.keepOnly(hashes);
    },
    workers: () => [...entries.values()].map(({ worker }) => worker),
    loads: (service) => entriesOf(service).map(loadAt),
    heard: (instance, news) => others.heard(instance, news),
    heardLeaving: (leaving) => {
      if (leaving.length === 0) return;
      const told = new Set(leaving);
      for (const entry of entries.values()) if (told.has(startOf(entry))) entry.isLeaving = true;
    },
    limitStatements: () => limits.statements(),
    heardLimits: (statements) => {
      for (const statement of statements) {
        noteLimit({ hash: statement.worker, isOwn: false }, () => limits.heard(statement));
      }
    },
    keepInstances: (instances) => others.keepInstances(instances),
    use: () => {
      const use = new Map<number, WorkerUse>();
      for (const { hash, running, unreadTokens } of entries.values()) {
        const { runs, failures } = health.ownCounts(hash);
        if (running > 0 || runs > 0) use.set(hash, { running, unreadTokens, runs, failures });
      }
      for (const counts of [versions?.counts() ?? [], counted()]) {
        for (const [key, count] of counts) use.set(key, { ...NO_USE, ...count });
      }
      return use;
    },
    overview: () =>
      [...entries.values()].map((entry) => {
        const { id, service, version, zone: place, purchase } = entry.worker;
        const { running } = loadAt(entry);
        const failing = health.excess(entry.hash, service, clock.now());
        const leaving = entry.isLeaving;
        const limit = limits.limitOf(entry.hash);
        return { id, service, version, zone: place, purchase, leaving, running, failing, limit };
      }),
    isLeaving: (id) => entries.get(id)?.isLeaving ?? true,
    leaving: () => [...entries.values()].filter(({ isLeaving }) => isLeaving).map(startOf),
    close: () => {
      for (const { leaveTimer } of entries.values()) leaveTimer?.close();
    },
  };
}

function groupByService(entries: Iterable<Entry>): ReadonlyMap<string, readonly Entry[]> {
  const groups = new Map<string, Entry[]>();
  for (const entry of entries) {
    const group = groups.get(entry.worker.service) ?? [];
    groups.set(entry.worker.service, group);
    group.push(entry);
  }
  return groups;
}

function startOf({ worker }: Entry): string {
  return `${worker.id}@${worker.born}`;
}

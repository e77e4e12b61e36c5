import { createReadRate } from "../decision/index.ts";
import type {
  RankedWorker,
  ReadRate,
  RunTally,
  ServiceSpeed,
  WorkerHealth,
} from "../decision/index.ts";
import type { Clock, RoutedWorker, Timer } from "../interface/index.ts";
import { RunResult } from "../request/routed_context.ts";
import type { BoardRun, BoardWorker, WorkerBoard } from "../request/index.ts";
import type { RoutedStatus } from "./routed_status.ts";
import { hashText } from "../version/index.ts";
import type { RoutedService } from "../version/index.ts";

/** What an instance has at one worker, as the others are told. */
export interface WorkerUse {
  readonly running: number;
  readonly unreadTokens: number;
  readonly tally: RunTally;
}

/** The board with what fills it. */
export interface RoutedBoard extends WorkerBoard {
  /** Takes the workers as the store has them now. */
  setWorkers(workers: readonly RoutedWorker[]): void;
  workers(): readonly RoutedWorker[];
  /** Requests that all instances have at each of the service's workers. */
  running(service: string): number[];
  /** What another instance has at the workers; it replaces what it said before. */
  heard(instance: string, use: ReadonlyMap<string, WorkerUse>): void;
  /** Other instances know that these workers leave; each is named with its start, as by `leaving`. */
  heardLeaving(leaving: readonly string[]): void;
  /** Forgets instances that weren't heard for a while: what they had at workers has ended. */
  keepInstances(names: ReadonlySet<string>): void;
  /** What this instance has at the workers. */
  use(): ReadonlyMap<string, WorkerUse>;
  /** Every worker with what runs there. */
  overview(): RoutedStatus["workers"];
  /** Workers that are known to leave, each with its start: a restarted one may have the same id. */
  leaving(): readonly string[];
  close(): void;
}

/** What the board is made with. */
export interface RoutedBoardParts {
  readonly clock: Clock;
  readonly zone: string;
  readonly health: WorkerHealth;
  /** How many instances share the workers' connections. */
  readonly members: () => number;
}

/** Milliseconds that a run takes until any was seen. */
const FIRST_RUN_TIME = { engine: 2_000, plain: 50 };
/** The weight of the newest run in the mean. */
const NEWEST_PART = 0.05;
/** The part of a worker's connections that the instances use together. */
const CONNECTION_PART = 0.9;
/** How long a worker that refused a connection, or has another id by now, gets nothing, in milliseconds. */
const REPLACED_PAUSE = 60_000;
/** How long before the end of a leaving worker what still runs there goes on elsewhere, in milliseconds. */
const LEAVE_MARGIN = 450;

/** Requests and unread prompt tokens that the other instances have at a worker. */
type OtherUse = Pick<WorkerUse, "running" | "unreadTokens">;

const NO_USE: OtherUse = { running: 0, unreadTokens: 0 };

interface Entry {
  readonly worker: RoutedWorker;
  readonly hash: number;
  readonly seenAt: number;
  running: number;
  unreadTokens: number;
  replacedUntil: number;
  isLeaving: boolean;
  readonly leaveListeners: Set<() => void>;
  leaveTimer: Timer | undefined;
}

/** Makes an empty board. */
export function createRoutedBoard(parts: RoutedBoardParts): RoutedBoard {
  const { clock, zone, health, members } = parts;
  const entries = new Map<string, Entry>();
  /** By instance, what it said last. */
  const said = new Map<string, ReadonlyMap<string, WorkerUse>>();
  /** By worker, what the other instances said, added up: a request looks at every worker of its service. */
  const others = new Map<string, OtherUse>();
  const runTimes = new Map<string, number>();
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
      replacedUntil: isSame ? known.replacedUntil : 0,
      isLeaving,
      leaveListeners: isSame ? known.leaveListeners : new Set(),
      leaveTimer: isSame ? known.leaveTimer : undefined,
    };
  };
  const replaceUse = (instance: string, use: ReadonlyMap<string, WorkerUse>): void => {
    for (const [id, { running, unreadTokens }] of said.get(instance) ?? []) {
      addToOthers(id, { running: -running, unreadTokens: -unreadTokens });
    }
    for (const [id, at] of use) addToOthers(id, at);
    if (use.size > 0) said.set(instance, use);
    else said.delete(instance);
  };
  const addToOthers = (id: string, { running, unreadTokens }: OtherUse): void => {
    const before = others.get(id) ?? NO_USE;
    const sum = {
      running: before.running + running,
      unreadTokens: before.unreadTokens + unreadTokens,
    };
    if (sum.running === 0 && sum.unreadTokens === 0) others.delete(id);
    else others.set(id, sum);
  };
  const ranked = (entry: Entry): RankedWorker => {
    const other = others.get(entry.worker.id) ?? NO_USE;
    const { worker } = entry;
    return {
      id: worker.id,
      hash: entry.hash,
      running: entry.running + other.running,
      unreadTokens: entry.unreadTokens + other.unreadTokens,
      slots: worker.slots,
      failing: health.excess(worker.id, worker.service, clock.now()),
      sameZone: worker.zone === zone,
      coldFor: Math.max(0, worker.coldFor - (clock.now() - entry.seenAt)),
    };
  };
  const candidates = (service: RoutedService): BoardWorker[] => {
    const now = clock.now();
    const most = Math.max(1, Math.floor((service.maxConnections * CONNECTION_PART) / members()));
    return [...entries.values()]
      .filter(({ worker }) => worker.service === service.name)
      .filter(({ isLeaving, replacedUntil }) => !isLeaving && now >= replacedUntil)
      .map((entry) => ({
        ...ranked(entry),
        address: entry.worker.address,
        service: service.name,
        mostConnections: most,
      }));
  };
  const begin = ({ id, service, unreadTokens }: BoardWorker, reads: number): BoardRun => {
    const startedAt = clock.now();
    const change = (by: number, tokensBy: number): void => {
      const entry = entries.get(id);
      if (entry === undefined) return;
      entry.running = Math.max(0, entry.running + by);
      entry.unreadTokens = Math.max(0, entry.unreadTokens + tokensBy);
    };
    let unread = reads;
    const forget = (): void => {
      change(0, -unread);
      unread = 0;
    };
    change(1, reads);
    return {
      read: () => {
        readRate(service).observe({ tokens: unreadTokens + reads, took: clock.now() - startedAt });
        forget();
      },
      end: (result) => {
        forget();
        change(-1, 0);
        const now = clock.now();
        if (result === RunResult.Answered) noteTime(service, now - startedAt);
        if (result === RunResult.Answered || result === RunResult.Failed) {
          health.ended({ worker: id, service, failed: result === RunResult.Failed, now });
        }
        const entry = entries.get(id);
        if (result === RunResult.Replaced && entry !== undefined) {
          entry.replacedUntil = now + REPLACED_PAUSE;
        }
      },
    };
  };
  const noteTime = (service: string, took: number): void => {
    const before = runTimes.get(service) ?? took;
    runTimes.set(service, before + (took - before) * NEWEST_PART);
  };
  return {
    candidates,
    begin,
    speed: ({ name, engine }): ServiceSpeed => ({
      readRate: engine === undefined ? undefined : readRate(name).value,
      runTime:
        runTimes.get(name) ?? (engine === undefined ? FIRST_RUN_TIME.plain : FIRST_RUN_TIME.engine),
    }),
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
        entries.set(worker.id, entry);
        if (entry.isLeaving) announceLeave(entry);
      }
      health.keepOnly(kept);
    },
    workers: () => [...entries.values()].map(({ worker }) => worker),
    running: (service) =>
      [...entries.values()]
        .filter(({ worker }) => worker.service === service)
        .map((entry) => ranked(entry).running),
    heard: replaceUse,
    heardLeaving: (leaving) => {
      const told = new Set(leaving);
      for (const entry of entries.values()) if (told.has(startOf(entry))) entry.isLeaving = true;
    },
    keepInstances: (names) => {
      for (const name of said.keys()) if (!names.has(name)) replaceUse(name, new Map());
    },
    use: () =>
      new Map(
        [...entries].map(([id, { running, unreadTokens }]) => [
          id,
          { running, unreadTokens, tally: health.tally(id, clock.now()) },
        ]),
      ),
    overview: () =>
      [...entries.values()].map((entry) => {
        const { running, failing } = ranked(entry);
        const { id, service, zone: place, purchase } = entry.worker;
        return { id, service, zone: place, purchase, leaving: entry.isLeaving, running, failing };
      }),
    leaving: () => [...entries.values()].filter(({ isLeaving }) => isLeaving).map(startOf),
    close: () => {
      for (const { leaveTimer } of entries.values()) leaveTimer?.close();
    },
  };
}

function startOf({ worker }: Entry): string {
  return `${worker.id}@${worker.born}`;
}

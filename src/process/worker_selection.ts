import { findHomes, sampleWorkers, sum, sumTokens, WorkerPart } from "../decision/index.ts";
import type {
  CandidateWorkers,
  RoomLoad,
  ServiceTiming,
  WorkerHealth,
  WorkerLimits,
  WorkerRooms,
  WorkerSpeeds,
} from "../decision/index.ts";
import type { Clock, Random, RoutedWorker, Timer } from "../interface/index.ts";
import type { CandidateWorker, RoutedPrompt, WorkerLoads } from "../request/index.ts";
import type { RoutedService } from "../version/index.ts";
import type { LongPromptWorkers } from "./long_prompt_workers.ts";
import type { Occupancy } from "./peer_occupancy.ts";
import type { RolloutView } from "./rollout_view.ts";

/** A registered worker and this instance's load on it. */
export interface WorkerEntry {
  readonly worker: RoutedWorker;
  /** Hash of the worker id, used in messages between instances. */
  readonly hash: number;
  /** Clock time at which the registration was first seen in its current state. */
  readonly seenAt: number;
  /** Number of this instance's running requests. */
  running: number;
  /** Prompt tokens of this instance's requests that the worker hasn't processed yet. */
  unreadTokens: number;
  /** Clock time before which the worker receives no requests, because of the result of a run. */
  pausedUntil: number;
  /** Clock time before which the worker itself wants no requests from this instance. */
  requestedPauseUntil: number;
  isLeaving: boolean;
  readonly leaveListeners: Set<() => void>;
  leaveTimer: Timer | undefined;
}

/** Returns the load of a worker's room, given its load from all instances. */
export function roomLoadOf(
  { worker, running: own }: WorkerEntry,
  { running: total }: Occupancy,
): RoomLoad {
  return { slots: worker.slots, own, total };
}

/** Selects the workers to which a request may be sent. */
export interface WorkerSelection extends Pick<WorkerLoads, "candidates" | "hasVersion" | "sample"> {
  /** Returns a function for the part of a service's workers; undefined if its prompts aren't separated. */
  partsOf(service: string): ((entry: WorkerEntry) => WorkerPart) | undefined;
}

/** Dependencies of {@linkcode createWorkerSelection}. */
export interface WorkerSelectionParts {
  readonly clock: Clock;
  readonly random: Random;
  /** Availability zone of this instance. */
  readonly zone: string;
  readonly health: WorkerHealth;
  /** Returns the number of instances that share the workers' connections. */
  readonly instanceCount: () => number;
  /** Returns the average age of the load reports of other instances, in milliseconds. */
  readonly updateAge: () => number;
  readonly limits: Pick<WorkerLimits, "canSend">;
  readonly rooms: Pick<WorkerRooms, "canSend" | "isBrittle">;
  /** Measured speeds of the workers. All are equally fast if undefined. */
  readonly speeds?: Pick<WorkerSpeeds, "slowness"> | undefined;
  /** Decides which versions receive requests. All versions do if undefined. */
  readonly versions?: Pick<RolloutView, "admitting"> | undefined;
  /** Separates long prompts from others. No prompts are separated if undefined. */
  readonly longPrompts?:
    Pick<LongPromptWorkers<WorkerEntry>, "partFor" | "select" | "separates"> | undefined;
  /** Returns the registered workers of a service. */
  readonly entriesOf: (service: string) => readonly WorkerEntry[];
  /** Returns a worker's load from all instances. */
  readonly loadAt: (entry: WorkerEntry) => Occupancy;
  /** Returns a worker's load from the other instances, by the hash of its id. */
  readonly peerLoadAt: (hash: number) => Occupancy;
  readonly timing: (service: RoutedService) => ServiceTiming;
}

/** What the candidates of one request have in common. */
interface CandidateOptions {
  readonly maxConnections: number;
  readonly now: number;
  readonly partOf: ((entry: WorkerEntry) => WorkerPart) | undefined;
}

/** How workers are drawn for a prompt. */
interface DrawOptions extends Pick<CandidateOptions, "partOf"> {
  readonly prompt: RoutedPrompt;
  /** The part of the workers that it is intended for; undefined if prompts aren't separated. */
  readonly part: WorkerPart | undefined;
  readonly unseenRuns: number;
}

/** Fraction of a worker's connections that all instances together use. */
const CONNECTION_SHARE = 0.9;
/** Time to live of the cached estimate of unseen runs, in milliseconds. */
const UNSEEN_TTL = 100;

/**
 * Creates the selection.
 *
 * A worker gets no requests while it is leaving, paused, at its rate limit or, if it is brittle, without room, or if
 * its version doesn't serve.
 */
export function createWorkerSelection(parts: WorkerSelectionParts): WorkerSelection {
  const { clock, random, zone, health, instanceCount, updateAge, limits, versions } = parts;
  const { rooms, speeds, entriesOf, loadAt, peerLoadAt, timing, longPrompts } = parts;
  const unseenCache = new Map<string, { unseen: number; at: number }>();
  // Every request checks every worker, so the load of those that aren't brittle is not added up.
  const hasRoom = (entry: WorkerEntry): boolean =>
    !rooms.isBrittle(entry.hash) || rooms.canSend(entry.hash, roomLoadOf(entry, loadAt(entry)));
  const available = (service: RoutedService, now: number): WorkerEntry[] =>
    entriesOf(service.name).filter(
      (entry) =>
        !entry.isLeaving &&
        now >= entry.pausedUntil &&
        now >= entry.requestedPauseUntil &&
        limits.canSend(entry.hash) &&
        hasRoom(entry),
    );
  const eligible = (service: RoutedService, now: number): WorkerEntry[] => {
    const entriesNow = available(service, now);
    const admission = versions?.admitting(service.name);
    if (admission === undefined) return entriesNow;
    return entriesNow.filter(({ worker }) => admission.serves(worker));
  };
  /** Returns the workers on trial that may receive the next request: those with at most the mean load of the others. */
  const onTrial = (service: RoutedService, now: number): WorkerEntry[] => {
    const admission = versions?.admitting(service.name);
    if (admission === undefined || admission.onTrial.size === 0) return [];
    const entriesNow = available(service, now);
    const serving = entriesNow.filter(({ worker }) => admission.serves(worker)).map(loadAt);
    const meanLoad = {
      running: sum(serving.map(({ running }) => running)) / Math.max(1, serving.length),
      unread: sum(serving.map((load) => load.unreadTokens)) / Math.max(1, serving.length),
    };
    return entriesNow.filter((entry) => {
      if (!admission.onTrial.has(entry.worker.id)) return false;
      const { running, unreadTokens } = loadAt(entry);
      return running <= meanLoad.running && unreadTokens <= meanLoad.unread;
    });
  };
  const partsOf: WorkerSelection["partsOf"] = (service) => {
    if (longPrompts?.separates(service) !== true) return undefined;
    const admission = versions?.admitting(service);
    const isUsable = ({ worker, isLeaving }: WorkerEntry): boolean =>
      !isLeaving && (admission?.serves(worker) ?? true);
    const selected = longPrompts.select(service, entriesOf(service), isUsable);
    if (selected === undefined) return undefined;
    return (entry) => (selected.has(entry) ? WorkerPart.LongPrompts : WorkerPart.OtherPrompts);
  };
  const partFor = (
    service: RoutedService,
    { route, parts: prompt }: RoutedPrompt,
  ): WorkerPart | undefined => {
    const { prefillRate } = timing(service);
    return longPrompts?.partFor(service.name, { route, tokens: sumTokens(prompt), prefillRate });
  };
  const maxConnectionsFor = ({ maxConnections }: RoutedService): number =>
    Math.max(1, Math.floor((maxConnections * CONNECTION_SHARE) / instanceCount()));
  const createCandidate = (
    entry: WorkerEntry,
    { maxConnections, now, partOf }: CandidateOptions,
  ): CandidateWorker => {
    const { worker, hash } = entry;
    return {
      id: worker.id,
      startedAt: worker.startedAt,
      hash,
      ...loadAt(entry),
      slots: worker.slots,
      excessFailureRate: health.excessFailureRate(hash, worker.service, now),
      isSameZone: worker.zone === zone,
      warmupLeft: Math.max(0, worker.warmupLeft - (now - entry.seenAt)),
      slowness: speeds?.slowness(hash, now) ?? 1,
      address: worker.address,
      service: worker.service,
      version: worker.version,
      maxConnections,
      part: partOf?.(entry),
    };
  };
  const candidateOptions = (service: RoutedService, now: number): CandidateOptions => ({
    maxConnections: maxConnectionsFor(service),
    now,
    partOf: partsOf(service.name),
  });
  const candidates = (service: RoutedService): CandidateWorker[] => {
    const now = clock.now();
    const options = candidateOptions(service, now);
    return eligible(service, now).map((entry) => createCandidate(entry, options));
  };
  /** Draws workers to compare for a prompt. Its home workers are among those of its part. */
  const draw = (
    all: readonly WorkerEntry[],
    { prompt, part, partOf, unseenRuns }: DrawOptions,
  ): CandidateWorkers<WorkerEntry> => {
    const options = { unseen: unseenRuns, parts: prompt.parts, random };
    if (part === undefined) return sampleWorkers(all, options);
    const intended = all.filter((entry) => partOf?.(entry) === part);
    if (prompt.fromAll !== true) return sampleWorkers(intended, options);
    const { workers } = sampleWorkers(all, { ...options, parts: [] });
    return { workers, homes: findHomes(intended, prompt.parts) };
  };
  // Every request takes this path. If other instances start runs unseen, the workers to compare are drawn first, so
  // that objects are created only for them. Otherwise all workers are compared.
  const sample: WorkerSelection["sample"] = (service, prompt) => {
    const now = clock.now();
    const options = candidateOptions(service, now);
    const part = options.partOf === undefined ? undefined : partFor(service, prompt);
    const trialWorkers = onTrial(service, now);
    if (trialWorkers.length > 0) {
      const workers = trialWorkers.map((entry) => createCandidate(entry, options));
      return { workers, homes: new Map(), part };
    }
    const { partOf } = options;
    const unseenRuns = unseen(service, now);
    const sampled = draw(eligible(service, now), { prompt, part, partOf, unseenRuns });
    const candidateByEntry = new Map(
      sampled.workers.map((entry) => [entry, createCandidate(entry, options)]),
    );
    const homes = new Map<CandidateWorker, number>();
    for (const [entry, chance] of sampled.homes) {
      const worker = candidateByEntry.get(entry);
      if (worker !== undefined) homes.set(worker, chance);
    }
    return { workers: [...candidateByEntry.values()], homes, part };
  };
  /** Estimates how many runs other instances begin at a worker before this instance receives their load reports. */
  const unseen = (service: RoutedService, now: number): number => {
    const age = updateAge();
    if (age === 0) return 0;
    const known = unseenCache.get(service.name);
    if (known !== undefined && now - known.at < UNSEEN_TTL) return known.unseen;
    const workers = entriesOf(service.name);
    // Little's law: running requests = start rate * duration.
    const running = sum(workers.map(({ hash }) => peerLoadAt(hash).running));
    const found = (running * age) / Math.max(1, timing(service).runTime * workers.length);
    unseenCache.set(service.name, { unseen: found, at: now });
    return found;
  };
  const hasVersion: WorkerSelection["hasVersion"] = ({ name }, version) =>
    entriesOf(name).some(({ worker, isLeaving }) => !isLeaving && worker.version === version);
  return { candidates, hasVersion, partsOf, sample };
}

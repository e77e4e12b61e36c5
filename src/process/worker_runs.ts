import type { WorkerRooms, WorkerHealth, WorkerLimits, WorkerSpeeds } from "../decision/index.ts";
import type { Clock, WorkerEndpoint } from "../interface/index.ts";
import { RunResult } from "../request/routed_context.ts";
import type { CandidateWorker, WorkerLoads } from "../request/index.ts";
import type { LongPromptWorkers } from "./long_prompt_workers.ts";
import type { Occupancy } from "./peer_occupancy.ts";
import type { RolloutView } from "./rollout_view.ts";
import type { ServiceTimings } from "./service_timings.ts";
import { roomLoadOf } from "./worker_selection.ts";
import type { WorkerEntry } from "./worker_selection.ts";

type HealthEffect = "well" | "failed" | "unknown";

/** How the result of a run counts for the health of its worker and of the worker's version. */
const HEALTH_EFFECT: Readonly<Record<RunResult, HealthEffect>> = {
  [RunResult.Answered]: "well",
  [RunResult.Error]: "failed",
  [RunResult.Failed]: "failed",
  [RunResult.Refused]: "unknown",
  [RunResult.Unreachable]: "failed",
  [RunResult.Replaced]: "unknown",
  [RunResult.Abandoned]: "unknown",
};
/** Time for which a worker receives no requests after such a result, in milliseconds. It may restart under its id. */
const PAUSE_TIMES: Partial<Record<RunResult, number>> = {
  [RunResult.Replaced]: 60_000,
  [RunResult.Unreachable]: 500,
};
/** Time after the end of a run until a brittle worker counts its place as free, in milliseconds. */
const PLACE_RELEASE_DELAY = 10;
/** Runs an action that may change what is known of a worker. */
export type TrackedChange = (
  worker: { readonly hash: number; readonly isOwn: boolean },
  action: () => void,
) => void;

/** Dependencies of {@linkcode createWorkerRuns}. */
export interface WorkerRunsParts {
  readonly clock: Clock;
  /** Returns the time synchronized across instances, in milliseconds since the Unix epoch. */
  readonly time: () => number;
  /** The registered workers by id. */
  readonly entries: ReadonlyMap<string, WorkerEntry>;
  /** Returns a worker's load from all instances. */
  readonly loadAt: (entry: WorkerEntry) => Occupancy;
  readonly health: Pick<WorkerHealth, "recordRun">;
  readonly limits: Pick<WorkerLimits, "recordAnswer" | "recordSent">;
  readonly rooms: Pick<WorkerRooms, "isBrittle" | "recordAnswer" | "recordRejected" | "recordSent">;
  readonly timings: ServiceTimings;
  readonly speeds?: WorkerSpeeds | undefined;
  readonly versions?: Pick<RolloutView, "begin"> | undefined;
  readonly longPrompts?:
    Pick<LongPromptWorkers<WorkerEntry>, "recordRun" | "separates"> | undefined;
  /** Runs an action and reports if it changed the worker's limit. */
  readonly trackLimit: TrackedChange;
  /** The same for whether the worker is brittle. */
  readonly trackBrittleness: TrackedChange;
  /** Called when a run begins. */
  readonly onBegin: () => void;
  /**
   * Finds out whether a missing response is due to the path from this instance to the worker. All of them count as the
   * worker's failures if undefined.
   */
  readonly hasLostPath?: ((worker: WorkerEndpoint) => Promise<boolean>) | undefined;
}

/** Creates the runs of an instance at its workers: their load, and what their results say about workers and services. */
export function createWorkerRuns(parts: WorkerRunsParts): Pick<WorkerLoads, "begin"> {
  const { clock, time, entries, loadAt, health, limits, rooms, timings, speeds } = parts;
  const { versions, longPrompts, trackLimit, trackBrittleness, onBegin, hasLostPath } = parts;
  /** Records the time of a first event for the speed of the worker and of its service. */
  const recordPrefill = (
    { hash, service }: Pick<CandidateWorker, "hash" | "service">,
    { tokens, duration }: { tokens: number; duration: number },
  ): void => {
    const now = clock.now();
    const slowness = speeds?.slowness(hash, now) ?? 1;
    const expected = timings.expectedPrefill(service, tokens);
    if (expected !== undefined) speeds?.recordPrefill(hash, { expected, observed: duration, now });
    // The service's rate is that of a usual worker, however many requests the slow ones get.
    timings.recordPrefill(service, { tokens, duration: duration / slowness });
  };
  const begin: WorkerLoads["begin"] = (target, { prefillTokens, route, promptTokens }) => {
    const { id, hash, service, unreadTokens, warmupLeft } = target;
    if (longPrompts?.separates(service) === true)
      longPrompts.recordRun(service, {
        route,
        tokens: promptTokens ?? prefillTokens,
        prefillTokens,
        prefillRate: timings.prefillRateOf(service),
      });
    const startedAt = clock.now();
    const sentAt = time();
    const routedWorker = entries.get(id)?.worker;
    const unreadTotal = unreadTokens + prefillTokens;
    const tally =
      routedWorker === undefined
        ? undefined
        : versions?.begin({
            worker: routedWorker,
            route,
            reads: unreadTotal,
            isCold: warmupLeft > 0,
          });
    const adjustLoad = (by: number, tokensBy: number): void => {
      const entry = entries.get(id);
      if (entry === undefined) return;
      entry.running = Math.max(0, entry.running + by);
      entry.unreadTokens = Math.max(0, entry.unreadTokens + tokensBy);
    };
    let unread = prefillTokens;
    /** Milliseconds of silence that don't count as run time. */
    let silence = 0;
    const clearUnread = (): void => {
      adjustLoad(0, -unread);
      unread = 0;
    };
    const entryAtStart = entries.get(id);
    if (entryAtStart !== undefined)
      rooms.recordSent(hash, roomLoadOf(entryAtStart, loadAt(entryAtStart)));
    adjustLoad(1, prefillTokens);
    limits.recordSent(hash);
    onBegin();
    const recordEffect = (effect: HealthEffect): void => {
      tally?.recordEnd(effect);
      if (effect !== "unknown")
        health.recordRun({ worker: hash, service, failed: effect === "failed", now: clock.now() });
    };
    /** A missing response is no evidence about the worker and its version if only the path from here is at fault. */
    const recordFailed = async (): Promise<void> => {
      const isPathLost = (await hasLostPath?.(target)) ?? false;
      recordEffect(isPathLost ? "unknown" : "failed");
    };
    return {
      recordResponse: ({ limit, survives }) => {
        trackLimit({ hash, isOwn: true }, () =>
          limits.recordAnswer(hash, { perSecond: limit, sentAt }),
        );
        trackBrittleness({ hash, isOwn: true }, () =>
          rooms.recordAnswer(hash, { survives, sentAt }),
        );
      },
      recordSilence: (duration) => {
        silence += duration;
      },
      recordFirstEvent: () => {
        const now = clock.now();
        recordPrefill(target, { tokens: unreadTotal, duration: now - startedAt });
        tally?.recordAnswer(now);
        clearUnread();
      },
      end: (result) => {
        clearUnread();
        if (result === RunResult.Refused) rooms.recordRejected(hash);
        if (rooms.isBrittle(hash)) clock.after(PLACE_RELEASE_DELAY, () => adjustLoad(-1, 0));
        else adjustLoad(-1, 0);
        const now = clock.now();
        const entry = entries.get(id);
        if (result === RunResult.Answered) {
          timings.recordRun(service, now - startedAt - silence);
          tally?.recordAnswer(now);
        }
        if (result === RunResult.Failed && hasLostPath !== undefined) void recordFailed();
        else recordEffect(HEALTH_EFFECT[result]);
        const pause = PAUSE_TIMES[result];
        if (pause !== undefined && entry !== undefined) entry.pausedUntil = now + pause;
      },
    };
  };
  return { begin };
}

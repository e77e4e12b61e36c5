/**
 * Decides what happens to each request in progress on a worker that is about to be reclaimed.
 *
 * Load: a wave of reclaims with seconds of notice, with each worker full of long scripts. If the
 * requests stay until the end, every answer is cut off and computed again from its prompt. If they
 * are moved at random, work lands on the next worker to be reclaimed, or all KV caches are sent at
 * once and none arrives in time. Symptom: several times the work in progress in recomputed tokens,
 * and requests that may or may not have run.
 *
 * The choice is made for each request in this order:
 *
 * - Its KV cache is exported, which recomputes nothing. All exports of the instance share its
 *   sending rate and run one after another, so that each arrives complete. Requests that may not be
 *   repeated go first (nothing else saves them), then those whose deadline leaves no time to
 *   compute them again, then the largest, since each export has the same fixed cost; last those
 *   that will most likely have ended. Exports begin as late as four times their total time allows:
 *   other entry instances export from the same worker at the same time and their exports aren't
 *   visible here. Until then all requests continue, and those that end need no export.
 * - Without an export it finishes, if it most likely ends before the instance is reclaimed, with a
 *   fifth of the time to spare. An answer that has exceeded its estimate is assumed to have as many
 *   tokens to come as it has produced: that is so for widely spread lengths, and an assumption that
 *   it is nearly done would be wrong half of the time.
 * - Otherwise it resumes on another worker from its tokens, at once if one has capacity: each
 *   further token produced here would have to be computed again there. Without capacity elsewhere
 *   it continues here until the last moment.
 * - A request that may not be repeated and can't be exported stays, and its outcome is queried
 *   later.
 *
 * Targets are workers with capacity that won't be reclaimed next: none with a reclaim notice, and
 * no reclaimable ones in a zone with a notice as long as there are others.
 *
 * @module
 */
import { Purchase, WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";

/** The choice for a request on a worker with a reclaim notice. */
export enum TriageChoice {
  /** It ends before the instance is reclaimed. */
  Finish = "finish",
  /** Its KV cache is exported and imported by another worker. */
  ExportCache = "export-cache",
  /** It runs until shortly before the reclaim, then resumes on another worker from its tokens. */
  ResumeLate = "resume-late",
  /** It resumes on another worker at once. */
  ResumeNow = "resume-now",
  /** It can't be moved and may not be repeated: it stays, and its outcome is queried later. */
  Stay = "stay",
}

/** A request in progress on a worker with a reclaim notice. Times are in milliseconds. */
export interface TriageRequest {
  readonly id: string;
  readonly repeatable: boolean;
  readonly promptTokens: number;
  readonly producedTokens: number;
  /** Expected number of tokens still to come. */
  readonly remainingTokens: number;
  /** Milliseconds per token at the worker's present speed. */
  readonly tokenTime: number;
  readonly deadlineAt: number;
  /** Prompt and answer tokens that only this worker has computed; all of them by default. */
  readonly cacheTokens?: number;
}

/** The state of a worker with a reclaim notice and of the possible targets. */
export interface TriageView {
  readonly now: number;
  /** Time of the reclaim, in the clock's milliseconds. */
  readonly reclaimAt: number;
  /** Bytes of KV cache per second that the instance can send. */
  readonly transferBytesPerSecond: number;
  /** Bytes of KV cache per token. */
  readonly bytesPerToken: number;
  /** Workers to which requests could move. */
  readonly targets: readonly Worker[];
  /** Prompt tokens per second that a target computes. */
  readonly prefillPerSecond: number;
  /**
   * All workers of the service that have a notice or are leaving, to detect a wave; only this
   * worker by default.
   */
  readonly workersWithNotice?: readonly Worker[];
  /** Free KV cache tokens of each target, by worker id; unlimited by default. */
  readonly freeCacheTokens?: ReadonlyMap<string, number>;
  /** Number of exports by other workers that share the transfer rate; 0 by default. */
  readonly concurrentExports?: number;
}

/** The choice for one request. */
export interface TriageDecision {
  readonly id: string;
  readonly choice: TriageChoice;
  /**
   * The target of an export or a resume; absent if the placement chooses the worker at the time of
   * the move.
   */
  readonly target?: string;
  /** Start time of an export or of a late resume, in the clock's milliseconds. */
  readonly at?: number;
}

/** The fraction of the time left that an answer may need in order to finish here. */
const FINISH_TIME_FRACTION = 0.8;
/** Milliseconds for the last token's way to the caller and for the backup's record of the end. */
const END_MARGIN = 250;
/** Milliseconds to request an export and to import it at the other end. */
const EXPORT_OVERHEAD = 20;
/**
 * If the estimated rest is below this fraction of the produced tokens, the estimate has most likely
 * been exceeded.
 */
const OVERRUN_FRACTION = 0.05;
/** The exports get their total time multiplied by this factor. */
const EXPORT_TIME_FACTOR = 4;
/** Milliseconds before the reclaim at which late resumes start on another worker. */
const LATE_RESUME_MARGIN = 500;

/**
 * Chooses for each request in progress on a worker with a reclaim notice; the result has the order
 * of the requests.
 */
export function triage(requests: readonly TriageRequest[], view: TriageView): TriageDecision[] {
  const chosen = new Map<string, TriageDecision>();
  const targets = createTargets(view);
  const remaining = scheduleExports(requests, { view, targets, chosen });
  for (const request of remaining)
    chosen.set(request.id, chooseWithoutExport(request, view, targets));
  return requests.map(({ id }) => chosen.get(id) ?? { id, choice: TriageChoice.Stay });
}

function canFinish(request: TriageRequest, view: TriageView): boolean {
  const timeLeft = view.reclaimAt - view.now - END_MARGIN;
  return expectedRemaining(request) * request.tokenTime < timeLeft * FINISH_TIME_FRACTION;
}

function expectedRemaining({ remainingTokens, producedTokens }: TriageRequest): number {
  return remainingTokens > OVERRUN_FRACTION * producedTokens ? remainingTokens : producedTokens;
}

/** Schedules the exports one after another; returns the requests without an export. */
function scheduleExports(
  requests: readonly TriageRequest[],
  options: { view: TriageView; targets: Targets; chosen: Map<string, TriageDecision> },
): TriageRequest[] {
  const { view, targets, chosen } = options;
  const remaining: TriageRequest[] = [];
  const scheduled: { readonly id: string; readonly target: string; readonly time: number }[] = [];
  let timeLeft = view.reclaimAt - END_MARGIN - view.now;
  for (const request of [...requests].sort((a, b) => compareExports(a, b, view))) {
    const time = exportTime(request, view);
    const target = time <= timeLeft ? targets.reserve(cachedTokens(request)) : undefined;
    if (target === undefined) {
      remaining.push(request);
      continue;
    }
    scheduled.push({ id: request.id, target, time });
    timeLeft -= time;
  }
  const total = scheduled.reduce((sum, { time }) => sum + time, 0);
  let at = Math.max(view.now, view.reclaimAt - LATE_RESUME_MARGIN - total * EXPORT_TIME_FACTOR);
  for (const { id, target, time } of scheduled) {
    chosen.set(id, { id, choice: TriageChoice.ExportCache, target, at });
    at += time;
  }
  return remaining;
}

function compareExports(a: TriageRequest, b: TriageRequest, view: TriageView): number {
  const difference = exportPriority(b, view) - exportPriority(a, view);
  if (difference !== 0) return difference;
  // Of those that may not be repeated the small ones go first, to save as many as possible.
  const bySize = cachedTokens(b) - cachedTokens(a);
  return a.repeatable ? bySize : -bySize;
}

function exportPriority(request: TriageRequest, view: TriageView): number {
  if (!request.repeatable) return 3;
  if (canFinish(request, view)) return 0;
  return hasTimeToRecompute(request, view) ? 1 : 2;
}

function hasTimeToRecompute(request: TriageRequest, view: TriageView): boolean {
  const recomputeTime = (contextTokens(request) * 1_000) / view.prefillPerSecond;
  return (
    view.now + recomputeTime + request.remainingTokens * request.tokenTime < request.deadlineAt
  );
}

function contextTokens({ promptTokens, producedTokens }: TriageRequest): number {
  return promptTokens + producedTokens;
}

function cachedTokens(request: TriageRequest): number {
  return request.cacheTokens ?? contextTokens(request);
}

/**
 * Returns the milliseconds for the export of a request's KV cache, including the tokens that it
 * grows by until then.
 */
function exportTime(request: TriageRequest, view: TriageView): number {
  const rate = view.transferBytesPerSecond / (1 + (view.concurrentExports ?? 0));
  const maxNewTokens = (view.reclaimAt - view.now) / Math.max(1, request.tokenTime);
  const tokens = cachedTokens(request) + Math.min(expectedRemaining(request), maxNewTokens);
  return EXPORT_OVERHEAD + (tokens * view.bytesPerToken * 1_000) / rate;
}

function chooseWithoutExport(
  request: TriageRequest,
  view: TriageView,
  targets: Targets,
): TriageDecision {
  const { id } = request;
  if (canFinish(request, view)) return { id, choice: TriageChoice.Finish };
  if (!request.repeatable) return { id, choice: TriageChoice.Stay };
  const target = targets.reserve(contextTokens(request));
  if (target !== undefined) return { id, choice: TriageChoice.ResumeNow, target };
  const at = Math.max(view.now, view.reclaimAt - LATE_RESUME_MARGIN);
  return { id, choice: TriageChoice.ResumeLate, at };
}

/** The workers to which requests move. */
interface Targets {
  /**
   * Returns the target with the most free tokens and reduces them; undefined if they aren't enough.
   */
  reserve(tokens: number): string | undefined;
}

function createTargets(view: TriageView): Targets {
  const freeTokens = new Map(
    safeTargets(view).map(({ id }) => [id, view.freeCacheTokens?.get(id) ?? Number.MAX_VALUE]),
  );
  const moved = new Map<string, number>();
  const withMoreFreeTokens = (a: string, b: string): string => {
    const difference = (freeTokens.get(b) ?? 0) - (freeTokens.get(a) ?? 0);
    if (difference !== 0) return difference > 0 ? b : a;
    return (moved.get(b) ?? 0) < (moved.get(a) ?? 0) ? b : a;
  };
  return {
    reserve: (tokens) => {
      const ids = [...freeTokens.keys()];
      if (ids.length === 0) return undefined;
      const best = ids.reduce(withMoreFreeTokens);
      const free = freeTokens.get(best) ?? 0;
      if (free < tokens) return undefined;
      freeTokens.set(best, free - tokens);
      moved.set(best, (moved.get(best) ?? 0) + 1);
      return best;
    },
  };
}

function safeTargets({ targets, workersWithNotice = [] }: TriageView): readonly Worker[] {
  const available = targets.filter(
    ({ state, reclaimAt }) => state === WorkerState.Live && reclaimAt === undefined,
  );
  const withReclaimNotice = workersWithNotice.filter(({ reclaimAt }) => reclaimAt !== undefined);
  const zonesWithNotice = new Set(withReclaimNotice.map(({ zone }) => zone));
  const safe = available.filter(
    ({ zone, purchase }) => purchase === Purchase.OnDemand || !zonesWithNotice.has(zone),
  );
  return safe.length > 0 ? safe : available;
}

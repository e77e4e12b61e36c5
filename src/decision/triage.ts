/**
 * What becomes of each request in progress on a worker whose instance is about to be taken.
 *
 * Load that it answers: a wave of reclaims with seconds of notice, each worker full of long scripts. Left
 * until the end, every answer is cut and computed recomputeTime from its prompt; moved at random, work lands on the
 * next instance to be taken, or the KV caches of all leave at once and none arrives in time. One would notice
 * recomputed tokens of several times the work in progress, and entries that may or may not have run.
 *
 * What a request costs is decided for each, in this order:
 *
 * - its KV cache is exported, which recomputes nothing. The instance's sending rate is shared by all its
 *   exports, one after another, so that each arrives whole: requests that may not be repeated first (nothing
 *   else saves them), then those whose deadline leaves no time to compute recomputeTime, then the largest, since each
 *   export has the same fixed cost; last those that will most likely have ended. Exports begin as late as
 *   their time allows, four times over, because other entry instances export from the same worker and aren't
 *   seen from here: until then all go on, and what ends by itself needs no export;
 * - without a turn it canFinish, where it most likely ends before the instance goes, with a fifth of the time
 *   to spare. An answer that is beyond its estimate is taken to have as much to come as it has produced:
 *   so it is with lengths that spread this widely, and "nearly done" would be wrong half of the time;
 * - else it resumes elsewhere from its tokens, at once where there is room: each token that it still produced
 *   here would be one more to compute recomputeTime there. Without room it goes on here until the last moment;
 * - what may not be repeated and can't be exported stays, and is asked after.
 *
 * Targets are workers with room that won't be taken next: none under notice, and no reclaimable ones in a
 * zone where a notice stands, as long as there are others.
 *
 * @module
 */
import { Purchase, WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";

/** What becomes of a request whose worker is under notice. */
export enum TriageChoice {
  /** It ends before the instance is taken. */
  Finish = "finish",
  /** Its KV cache is exported and imported elsewhere. */
  ExportCache = "export-cache",
  /** It runs until shortly before the end, then resumes elsewhere from its tokens. */
  ResumeLate = "resume-late",
  /** It resumes elsewhere at once. */
  ResumeNow = "resume-now",
  /** It can't be moved and may not be repeated: it stays and is asked after. */
  Stay = "stay",
}

/** A request in progress on a worker under notice. Times in milliseconds. */
export interface Endangered {
  readonly id: string;
  readonly repeatable: boolean;
  readonly promptTokens: number;
  readonly producedTokens: number;
  /** Expected tokens still to come. */
  readonly remainingTokens: number;
  /** Milliseconds a token at the worker's present pace. */
  readonly tokenTime: number;
  readonly deadlineAt: number;
  /** Prompt and answer tokens that only this worker has computed; all of them where it isn't known. */
  readonly cacheTokens?: number;
}

/** What triage knows of a worker under notice. */
export interface TriageView {
  readonly now: number;
  /** When the instance is taken, in the clock's milliseconds. */
  readonly reclaimAt: number;
  /** KV cache bytes a second that the instance can send. */
  readonly transferRate: number;
  /** Bytes of KV cache a token. */
  readonly bytesPerToken: number;
  /** Workers that could take what moves. */
  readonly targets: readonly Worker[];
  /** Prompt tokens a second at which a target computes anew what wasn't moved. */
  readonly prefillPerSecond: number;
  /** All workers of the service under notice or leaving, to see a wave; only this one where not given. */
  readonly underNotice?: readonly Worker[];
  /** Tokens of KV cache free on each target, by worker id; unbounded where not given. */
  readonly room?: ReadonlyMap<string, number>;
  /** Exports by other workers that share the transfer rate; 0 where not given. */
  readonly otherExports?: number;
}

/** The choice for one request. */
export interface Triage {
  readonly id: string;
  readonly choice: TriageChoice;
  /** Where it goes, for an export and a move; absent where the placement decides when it moves. */
  readonly target?: string;
  /** When it is to begin: an export's turn, or the last moment of a late resume. */
  readonly at?: number;
}

/** The part of the time left that an answer may need and still be left to finish. */
const FINISH_TIME_FRACTION = 0.8;
/** The last token's way to the caller, and the end's record at the backup. */
const END_MARGIN = 250;
/** Asking for an export, and its import at the other end. */
const EXPORT_OVERHEAD = 20;
/** Below this part of what was produced, an estimate of the rest has most likely been exceeded. */
const OVERRUN_FRACTION = 0.05;
/** How many times over the exports' time is kept free for them. */
const EXPORT_TIME_FACTOR = 4;
/** Before an instance goes, late resumes leave it. */
const LATE_RESUME_MARGIN = 500;

/** Chooses for each request in progress on a worker under notice, in the order of the requests. */
export function triage(requests: readonly Endangered[], view: TriageView): Triage[] {
  const chosen = new Map<string, Triage>();
  const targets = createTargets(view);
  const left = scheduleExports(requests, { view, targets, chosen });
  for (const request of left) chosen.set(request.id, chooseWithoutExport(request, view, targets));
  return requests.map(({ id }) => chosen.get(id) ?? { id, choice: TriageChoice.Stay });
}

function canFinish(request: Endangered, view: TriageView): boolean {
  const left = view.reclaimAt - view.now - END_MARGIN;
  return expectedRemaining(request) * request.tokenTime < left * FINISH_TIME_FRACTION;
}

function expectedRemaining({ remainingTokens, producedTokens }: Endangered): number {
  return remainingTokens > OVERRUN_FRACTION * producedTokens ? remainingTokens : producedTokens;
}

/** Gives exports their turns; returns the requests that got none. */
function scheduleExports(
  requests: readonly Endangered[],
  options: { view: TriageView; targets: Targets; chosen: Map<string, Triage> },
): Endangered[] {
  const { view, targets, chosen } = options;
  const left: Endangered[] = [];
  const turns: { readonly id: string; readonly target: string; readonly time: number }[] = [];
  let free = view.reclaimAt - END_MARGIN - view.now;
  for (const request of [...requests].sort((a, b) => compareExports(a, b, view))) {
    const time = exportTime(request, view);
    const target = time <= free ? targets.reserve(cachedTokens(request)) : undefined;
    if (target === undefined) {
      left.push(request);
      continue;
    }
    turns.push({ id: request.id, target, time });
    free -= time;
  }
  const total = turns.reduce((sum, { time }) => sum + time, 0);
  let at = Math.max(view.now, view.reclaimAt - LATE_RESUME_MARGIN - total * EXPORT_TIME_FACTOR);
  for (const { id, target, time } of turns) {
    chosen.set(id, { id, choice: TriageChoice.ExportCache, target, at });
    at += time;
  }
  return left;
}

function compareExports(a: Endangered, b: Endangered, view: TriageView): number {
  const difference = exportPriority(b, view) - exportPriority(a, view);
  if (difference !== 0) return difference;
  // Of those that may not be repeated, the small ones first: as many as possible are saved.
  const bySize = cachedTokens(b) - cachedTokens(a);
  return a.repeatable ? bySize : -bySize;
}

function exportPriority(request: Endangered, view: TriageView): number {
  if (!request.repeatable) return 3;
  if (canFinish(request, view)) return 0;
  return hasTimeToRecompute(request, view) ? 1 : 2;
}

function hasTimeToRecompute(request: Endangered, view: TriageView): boolean {
  const recomputeTime = (contextTokens(request) * 1_000) / view.prefillPerSecond;
  return (
    view.now + recomputeTime + request.remainingTokens * request.tokenTime < request.deadlineAt
  );
}

function contextTokens({ promptTokens, producedTokens }: Endangered): number {
  return promptTokens + producedTokens;
}

function cachedTokens(request: Endangered): number {
  return request.cacheTokens ?? contextTokens(request);
}

/** Milliseconds that a request's KV cache takes to leave, with what it grows by until then. */
function exportTime(request: Endangered, view: TriageView): number {
  const rate = view.transferRate / (1 + (view.otherExports ?? 0));
  const longest = (view.reclaimAt - view.now) / Math.max(1, request.tokenTime);
  const tokens = cachedTokens(request) + Math.min(expectedRemaining(request), longest);
  return EXPORT_OVERHEAD + (tokens * view.bytesPerToken * 1_000) / rate;
}

function chooseWithoutExport(request: Endangered, view: TriageView, targets: Targets): Triage {
  const { id } = request;
  if (canFinish(request, view)) return { id, choice: TriageChoice.Finish };
  if (!request.repeatable) return { id, choice: TriageChoice.Stay };
  const target = targets.reserve(contextTokens(request));
  if (target !== undefined) return { id, choice: TriageChoice.ResumeNow, target };
  const at = Math.max(view.now, view.reclaimAt - LATE_RESUME_MARGIN);
  return { id, choice: TriageChoice.ResumeLate, at };
}

/** The workers that take what moves. */
interface Targets {
  /** The target with the most room, if it has enough; its room is taken down. */
  reserve(tokens: number): string | undefined;
}

function createTargets(view: TriageView): Targets {
  const room = new Map(
    safeTargets(view).map(({ id }) => [id, view.room?.get(id) ?? Number.MAX_VALUE]),
  );
  const moved = new Map<string, number>();
  const withMoreRoom = (a: string, b: string): string => {
    const difference = (room.get(b) ?? 0) - (room.get(a) ?? 0);
    if (difference !== 0) return difference > 0 ? b : a;
    return (moved.get(b) ?? 0) < (moved.get(a) ?? 0) ? b : a;
  };
  return {
    reserve: (tokens) => {
      const ids = [...room.keys()];
      if (ids.length === 0) return undefined;
      const best = ids.reduce(withMoreRoom);
      const free = room.get(best) ?? 0;
      if (free < tokens) return undefined;
      room.set(best, free - tokens);
      moved.set(best, (moved.get(best) ?? 0) + 1);
      return best;
    },
  };
}

function safeTargets({ targets, underNotice = [] }: TriageView): readonly Worker[] {
  const available = targets.filter(
    ({ state, reclaimAt }) => state === WorkerState.Live && reclaimAt === undefined,
  );
  const workersWithNotice = underNotice.filter(({ reclaimAt }) => reclaimAt !== undefined);
  const zones = new Set(workersWithNotice.map(({ zone }) => zone));
  const safe = available.filter(
    ({ zone, purchase }) => purchase === Purchase.OnDemand || !zones.has(zone),
  );
  return safe.length > 0 ? safe : available;
}

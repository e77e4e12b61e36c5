/**
 * Produces the tokens of a simulated backend server by a clock, either from the engine model or at
 * a constant rate.
 *
 * @module
 */
import type { Clock, Timer } from "../interface/index.ts";
import { createEngineModel } from "./engine_model.ts";
import type {
  EngineLoad,
  EngineModelEvent,
  EngineRequest,
  EngineCapacity,
} from "./engine_model.ts";

/** An engine event that belongs to one request. */
export type RequestEvent = Extract<EngineModelEvent, { id: string }>;

/** Produces the tokens of a simulated backend server in real or virtual time. */
export interface TokenSource {
  /**
   * Starts a request.
   *
   * @param listener Called with the request's events as they happen.
   * @returns False if the request exceeds the whole KV cache.
   */
  start(request: EngineRequest, listener: (events: readonly RequestEvent[]) => void): boolean;
  /** Cancels a request. Its listener is not called again. */
  cancel(id: string): void;
  /**
   * Returns the tokens of KV cache that an export of the request would hold now, or undefined if
   * the request isn't running.
   */
  exportableTokens(id: string): number | undefined;
  /** Returns the current load. */
  load(): EngineLoad;
  /** Stops the timers. */
  close(): void;
}

/**
 * Creates a token source that runs the engine model on a clock.
 *
 * @param clock The clock.
 * @param options Capacity of the machine class, and the factor by which the engine runs faster than
 * the clock.
 */
export function createEngineTokenSource(
  clock: Clock,
  { capacity, timeScale }: { capacity: EngineCapacity; timeScale: number },
): TokenSource {
  const engine = createEngineModel(capacity);
  const listeners = new Map<string, (events: readonly RequestEvent[]) => void>();
  const startedAt = clock.now();
  let timer: Timer | undefined;
  const engineNow = (): number => (clock.now() - startedAt) * timeScale;
  const scheduleNextStep = (): void => {
    const nextStepAt = engine.nextEventAt();
    timer?.close();
    timer = undefined;
    if (nextStepAt === undefined) return;
    timer = clock.after(Math.max(0, nextStepAt - engineNow()) / timeScale, () => {
      // A timer may fire slightly early. The step for which it was set ends nevertheless.
      notifyListeners(engine.advanceTo(Math.max(nextStepAt, engineNow())));
      scheduleNextStep();
    });
  };
  const notifyListeners = (events: readonly EngineModelEvent[]): void => {
    for (const event of events) {
      if ("id" in event) listeners.get(event.id)?.([event]);
      if (event.kind === "finished") listeners.delete(event.id);
    }
  };
  return {
    start: (request, listener) => {
      listeners.set(request.id, listener);
      const isAccepted = engine.submit(request, engineNow());
      if (!isAccepted) listeners.delete(request.id);
      scheduleNextStep();
      return isAccepted;
    },
    cancel: (id) => {
      listeners.delete(id);
      engine.cancel(id, engineNow());
      scheduleNextStep();
    },
    exportableTokens: (id) => engine.exportableTokens(id),
    load: () => engine.load(),
    close: () => timer?.close(),
  };
}

/** KV cache capacity in tokens that a source with a constant rate reports. */
const REPORTED_CACHE_CAPACITY = 100_000;

/**
 * Creates a token source that produces each request's tokens at a constant rate, whatever else is
 * in progress.
 *
 * @param clock The clock.
 * @param tokenInterval Milliseconds between tokens; 0 produces all tokens at once.
 */
export function createConstantRateSource(clock: Clock, tokenInterval: number): TokenSource {
  const timers = new Map<string, Timer>();
  const cacheTokens = new Map<string, number>();
  const forget = (id: string): void => {
    timers.delete(id);
    cacheTokens.delete(id);
  };
  return {
    start: (request, listener) => {
      const { id, answerTokens, resumedTokens, promptTokens } = request;
      const at = clock.now();
      const started: RequestEvent = { kind: "started", at, id, computed: promptTokens, cached: 0 };
      if (tokenInterval === 0) {
        const tokens: RequestEvent[] = Array.from(
          { length: Math.max(0, answerTokens - resumedTokens) },
          (_, index) => ({ kind: "token", at, id, index: resumedTokens + index }),
        );
        listener([started, ...tokens, { kind: "finished", at, id }]);
        return true;
      }
      listener([started]);
      const scheduleToken = (index: number): void => {
        cacheTokens.set(id, promptTokens + index);
        if (index >= answerTokens) {
          forget(id);
          listener([{ kind: "finished", at: clock.now(), id }]);
          return;
        }
        const timer = clock.after(tokenInterval, () => {
          listener([{ kind: "token", at: clock.now(), id, index }]);
          scheduleToken(index + 1);
        });
        timers.set(id, timer);
      };
      scheduleToken(resumedTokens);
      return true;
    },
    cancel: (id) => {
      timers.get(id)?.close();
      forget(id);
    },
    exportableTokens: (id) => cacheTokens.get(id),
    load: () => ({
      running: timers.size,
      waiting: 0,
      cacheTokens: [...cacheTokens.values()].reduce((sum, tokens) => sum + tokens, 0),
      cacheCapacity: REPORTED_CACHE_CAPACITY,
    }),
    close: () => {
      for (const timer of timers.values()) timer.close();
    },
  };
}

import type { Clock, Timer } from "../interface/index.ts";
import { createEngineModel } from "./engine_model.ts";
import type {
  EngineLoad,
  EngineModelEvent,
  EngineRequest,
  EngineCapacity,
} from "./engine_model.ts";

/** Events of one request. */
export type RequestEvent = Extract<EngineModelEvent, { id: string }>;

/** Where a backend server stand-in has its tokens from, by a clock. */
export interface TokenSource {
  /**
   * Begins a request.
   *
   * @param listener Called with the request's events as they happen.
   * @returns False where the request can never fit.
   */
  start(request: EngineRequest, listener: (events: readonly RequestEvent[]) => void): boolean;
  cancel(id: string): void;
  /** Tokens of KV cache that an export of the request holds now, if it is running. */
  exportableTokens(id: string): number | undefined;
  load(): EngineLoad;
  close(): void;
}

/**
 * Has the engine model run by a clock.
 *
 * @param clock The clock.
 * @param options The machine class's speeds, and how many times as fast as the clock the engine runs.
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
      // A timer may fire a little early: the step that it stands for ends all the same.
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

/** Tokens of KV cache that a source of constant pace says it has. */
const REPORTED_CACHE_CAPACITY = 100_000;

/**
 * Gives each request its tokens at a constant pace, whatever else is in progress.
 *
 * @param clock The clock.
 * @param tokenTime Milliseconds between tokens; 0 gives all at once.
 */
export function createConstantRateSource(clock: Clock, tokenTime: number): TokenSource {
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
      if (tokenTime === 0) {
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
        const timer = clock.after(tokenTime, () => {
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

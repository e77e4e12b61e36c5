/**
 * The pace of an engine of the row `rotas`: prompts are read between the steps of running requests, and each step
 * takes longer the more requests run.
 *
 * @module
 */
import { ENGINE } from "./rotas_site.ts";

/** A request at an engine. */
export interface EngineRun {
  /** Prompt parts in order, as in `X-Prompt-Prefix`. */
  readonly prefix: string;
  /** Events that are still to be made. */
  events: number;
  /** Called for each event; `isLast` tells whether it is the last one. */
  readonly onEvent: (isLast: boolean) => void;
}

/** The load of an engine. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly usedTokens: number;
}

/** An engine that processes requests in batches. */
export interface Engine {
  /** Whether it makes no events; it goes on once this is reset. */
  isSilent: boolean;
  readonly load: EngineLoad;
  /** Adds a request; returns false if the queue is full. */
  add(run: EngineRun): boolean;
  /** Removes a request whose caller has left. */
  remove(run: EngineRun): void;
  close(): void;
}

interface ActiveRun {
  readonly run: EngineRun;
  /** Tokens of the prompt that are still to be read. */
  unread: number;
  readonly tokens: number;
}

/** Interval of the check whether a silent engine goes on, in milliseconds. */
const SILENCE_POLL_INTERVAL = 20;
const TOKENS_PER_KILO = 1_000;

/** Creates an idle engine. `slowness` is a factor of all its times. */
export function createEngine(slowness: number): Engine {
  const state = { isSilent: false };
  const active: ActiveRun[] = [];
  const queue: EngineRun[] = [];
  const cached = new Map<string, number>();
  let timer: NodeJS.Timeout | undefined;
  let isClosed = false;

  const usedTokens = (): number => active.reduce((sum, { tokens }) => sum + tokens, 0);
  const admitNext = (): void => {
    while (active.length < ENGINE.slots) {
      const run = queue.shift();
      if (run === undefined) return;
      const parts = partsOf(run.prefix);
      const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
      active.push({ run, tokens, unread: Math.max(1, unreadTokens(parts)) });
    }
  };
  const unreadTokens = (parts: readonly Part[]): number => {
    const firstUnread = parts.findIndex(({ id }) => !cached.has(id));
    const unread = firstUnread < 0 ? [] : parts.slice(firstUnread);
    for (const { id, tokens } of parts) {
      cached.delete(id);
      cached.set(id, tokens);
    }
    evict();
    return unread.reduce((sum, { tokens }) => sum + tokens, 0);
  };
  const evict = (): void => {
    let total = [...cached.values()].reduce((sum, tokens) => sum + tokens, 0);
    for (const [id, tokens] of cached) {
      if (total <= ENGINE.memoryTokens) return;
      cached.delete(id);
      total -= tokens;
    }
  };
  /** Reads prompts and makes an event of each running request; returns the milliseconds that this takes. */
  const advance = (): number => {
    const decoding = active.filter(({ unread }) => unread === 0);
    let room = ENGINE.chunk * ENGINE.tokensPerEvent;
    let read = 0;
    for (const one of active) {
      const part = Math.min(one.unread, room);
      one.unread -= part;
      room -= part;
      read += part;
    }
    for (const one of decoding) {
      one.run.events--;
      const isLast = one.run.events <= 0;
      if (isLast) active.splice(active.indexOf(one), 1);
      one.run.onEvent(isLast);
    }
    const step =
      ENGINE.stepTime +
      ENGINE.stepTimePerRun * active.length +
      (ENGINE.stepTimePerContext * usedTokens()) / TOKENS_PER_KILO;
    return slowness * (ENGINE.tokensPerEvent * step + read / ENGINE.prefillTokensPerMillisecond);
  };
  const schedule = (delay: number): void => {
    timer = setTimeout(() => {
      timer = undefined;
      if (isClosed) return;
      if (state.isSilent) {
        schedule(SILENCE_POLL_INTERVAL);
        return;
      }
      admitNext();
      if (active.length > 0) schedule(advance());
    }, delay);
  };
  return Object.defineProperties(state as Engine, {
    load: {
      get: (): EngineLoad => ({
        running: active.length,
        waiting: queue.length,
        usedTokens: usedTokens(),
      }),
    },
    add: {
      value: (run: EngineRun) => {
        if (active.length >= ENGINE.slots && queue.length >= ENGINE.queue) return false;
        queue.push(run);
        if (timer === undefined) schedule(0);
        return true;
      },
    },
    remove: {
      value: (run: EngineRun) => {
        const queued = queue.indexOf(run);
        if (queued >= 0) queue.splice(queued, 1);
        const running = active.findIndex((one) => one.run === run);
        if (running >= 0) active.splice(running, 1);
      },
    },
    close: {
      value: () => {
        isClosed = true;
        clearTimeout(timer);
      },
    },
  });
}

interface Part {
  readonly id: string;
  readonly tokens: number;
}

function partsOf(prefix: string): Part[] {
  return prefix.split(",").map((part) => {
    const [id = "", tokens = "0"] = part.split(":");
    return { id, tokens: Number(tokens) };
  });
}

import { CANCELLED_RUN, EngineKnowledge, sleep } from "../../interface/index.ts";
import type {
  Clock,
  Dispatch,
  Engine,
  EngineEvent,
  EngineFailure,
  Worker,
} from "../../interface/index.ts";

/** One run of a request on a worker, as the backend server itself recorded it. */
export interface EngineRun {
  readonly id: string;
  readonly worker: string;
  readonly attempt: number;
  readonly startedAt: number;
  /** Tokens that the engine had to go on from. */
  readonly resumedFrom: number;
  /** When it was cancelled; absent where it went on. */
  readonly cancelledAt?: number;
}

/** Backend servers in memory: they answer `t0 t1 …`, and keep their own record of every run. */
export interface MemoryEngines {
  connect(gate?: () => Promise<void>): Engine;
  /** Every run that began, in order. */
  readonly runs: readonly EngineRun[];
  /** Takes a worker away: its streams break, calls are refused. */
  kill(worker: string): void;
  /** Connections that are open now to the worker go silent for good, while new ones work. */
  silence(worker: string): void;
  /** Makes a worker's tokens come this much more slowly. */
  slow(worker: string, factor: number): void;
}

const TOKEN_TIME = 20;
const ANSWER_TOKENS = 8;
const CONNECT_TIME = 1;

interface Progress {
  produced: number;
  finished: boolean;
  cancelled: boolean;
}

/** Makes backend servers; any worker that is called exists until it is killed. */
export function createMemoryEngines(clock: Clock): MemoryEngines {
  const runs: (EngineRun & { cancelledAt?: number })[] = [];
  const progress = new Map<string, Progress>();
  const barred = new Set<string>();
  const dead = new Set<string>();
  const eras = new Map<string, number>();
  const factors = new Map<string, number>();

  const reach = async (worker: Worker, step: EngineFailure["step"]): Promise<void> => {
    await sleep(clock, CONNECT_TIME);
    if (dead.has(worker.id)) throw engineFailure(step, worker, true);
  };
  const begin = (worker: Worker, dispatch: Dispatch): Progress => {
    const { id, attempt, tokens } = dispatch;
    const run = { id, worker: worker.id, attempt, startedAt: clock.now() };
    runs.push({ ...run, resumedFrom: tokens.length });
    const state = { produced: tokens.length, finished: false, cancelled: false };
    progress.set(`${worker.id} ${id}`, state);
    void produce(worker, { state, total: answerLength(dispatch) });
    return state;
  };
  const produce = async (
    worker: Worker,
    { state, total }: { state: Progress; total: number },
  ): Promise<void> => {
    while (state.produced < total && !state.cancelled && !dead.has(worker.id)) {
      await sleep(clock, TOKEN_TIME * (factors.get(worker.id) ?? 1));
      state.produced++;
    }
    state.finished = true;
  };
  const follow = async function* (
    worker: Worker,
    options: { state: Progress; from: number; signal: AbortSignal },
  ): AsyncGenerator<EngineEvent> {
    const era = eras.get(worker.id) ?? 0;
    const { state, signal } = options;
    let index = options.from;
    for (;;) {
      if (dead.has(worker.id)) throw engineFailure("stream", worker, false);
      signal.throwIfAborted();
      const silent = (eras.get(worker.id) ?? 0) !== era;
      while (!silent && index < state.produced) {
        yield { kind: "token", index, text: `t${index} ` };
        index++;
      }
      if (!silent && state.finished && index >= state.produced) break;
      await sleep(clock, TOKEN_TIME / 2, { signal });
    }
    yield { kind: "finished", reason: state.cancelled ? CANCELLED_RUN : "stop" };
  };
  const connect = (gate: () => Promise<void> = () => Promise.resolve()): Engine => ({
    run: async function* (worker, dispatch, signal) {
      await reach(worker, "connect");
      if (barred.has(`${worker.id} ${dispatch.id}`)) {
        yield { kind: "status", status: 409, body: "barred" };
        return;
      }
      const from = dispatch.tokens.length;
      const state = begin(worker, dispatch);
      await gate();
      const isImported = dispatch.cache !== undefined;
      yield { kind: "started", recomputed: isImported ? 0 : from, cached: isImported ? from : 0 };
      for await (const event of follow(worker, { state, from, signal })) {
        await gate();
        yield event;
      }
    },
    attach: async function* (worker, id, { fromToken, signal }) {
      await reach(worker, "connect");
      const state = progress.get(`${worker.id} ${id}`);
      if (state === undefined) {
        yield { kind: "status", status: 404, body: "unknown request" };
        return;
      }
      for await (const event of follow(worker, { state, from: fromToken, signal })) {
        await gate();
        yield event;
      }
    },
    cancel: async (worker, id) => {
      await reach(worker, "order");
      const state = progress.get(`${worker.id} ${id}`);
      if (state === undefined || state.finished) return;
      state.cancelled = true;
      const run = runs.findLast((found) => found.worker === worker.id && found.id === id);
      if (run !== undefined) run.cancelledAt ??= clock.now();
    },
    ask: async (worker, id, { bar }) => {
      await reach(worker, "order");
      const state = progress.get(`${worker.id} ${id}`);
      if (state === undefined && bar) barred.add(`${worker.id} ${id}`);
      await gate();
      return knowledgeOf(state, bar);
    },
    exportCache: async (worker, id) => {
      await reach(worker, "order");
      return `${worker.id}/${id}`;
    },
    report: async (worker) => {
      await reach(worker, "order");
      const running = [...progress].filter(
        ([key, state]) => key.startsWith(`${worker.id} `) && !state.finished,
      ).length;
      const load = { running, waiting: 0, cacheTokens: 0, cacheCapacity: 100_000, loaded: [] };
      return { worker: worker.id, takenAt: clock.now(), ...load };
    },
    order: (worker) => reach(worker, "order"),
  });
  return {
    connect,
    runs,
    kill: (worker) => dead.add(worker),
    silence: (worker) => eras.set(worker, (eras.get(worker) ?? 0) + 1),
    slow: (worker, factor) => factors.set(worker, factor),
  };
}

function knowledgeOf(state: Progress | undefined, bar: boolean): EngineKnowledge {
  if (state === undefined) return bar ? EngineKnowledge.Barred : EngineKnowledge.Unknown;
  if (state.cancelled) return EngineKnowledge.Cancelled;
  return state.finished ? EngineKnowledge.Finished : EngineKnowledge.Running;
}

function answerLength(dispatch: Dispatch): number {
  const body = JSON.parse(dispatch.body) as { max_tokens?: number };
  return body.max_tokens ?? ANSWER_TOKENS;
}

function engineFailure(
  step: EngineFailure["step"],
  worker: Worker,
  notSent: boolean,
): EngineFailure {
  const error = new Error(`The call to ${worker.id} failed at ${step}: the server has gone.`);
  return Object.assign(error, { step, peer: worker.id, notSent });
}

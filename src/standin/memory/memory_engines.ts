/**
 * Backend servers in memory, with injected failures, for tests on a virtual clock.
 *
 * @module
 */
import { CANCELLED_RUN, EngineRequestState, sleep } from "../../interface/index.ts";
import type {
  Clock,
  Dispatch,
  Engine,
  EngineEvent,
  EngineFailure,
  Worker,
} from "../../interface/index.ts";

/** A run of a request on a worker, as recorded by the backend server itself. */
export interface EngineRun {
  readonly id: string;
  readonly worker: string;
  readonly attempt: number;
  /** Time in milliseconds at which the run started. */
  readonly startedAt: number;
  /** Number of answer tokens that came with the dispatch. */
  readonly resumedFrom: number;
  /** Time at which the run was cancelled; absent if it wasn't. */
  readonly cancelledAt?: number;
}

/** Backend servers in memory. They answer `t0 t1 …` and record every run. */
export interface MemoryEngines {
  /**
   * Returns the engine client of an instance. Events and responses wait for `whenRunning`, which
   * resolves unless the instance is paused.
   */
  connect(whenRunning?: () => Promise<void>): Engine;
  /** All runs in the order of their start. */
  readonly runs: readonly EngineRun[];
  /** Stops a worker. Its streams fail, and calls to it are refused. */
  kill(worker: string): void;
  /** Makes the connections that are open to a worker hang forever. New connections work. */
  hangOpenConnections(worker: string): void;
  /** Multiplies the time between a worker's tokens by a factor. */
  setSlowdown(worker: string, factor: number): void;
}

/** Milliseconds between two tokens. */
const TOKEN_INTERVAL = 20;
/** Tokens of an answer if the request sets no limit. */
const DEFAULT_ANSWER_TOKENS = 8;
/** Milliseconds until a connection is open. */
const CONNECT_TIME = 1;

interface RunProgress {
  produced: number;
  isFinished: boolean;
  isCancelled: boolean;
}

/** Creates backend servers. Every worker that is called exists until it is killed. */
export function createMemoryEngines(clock: Clock): MemoryEngines {
  const runs: (EngineRun & { cancelledAt?: number })[] = [];
  const progress = new Map<string, RunProgress>();
  const barred = new Set<string>();
  const killed = new Set<string>();
  const connectionGenerations = new Map<string, number>();
  const slowdowns = new Map<string, number>();

  const connectTo = async (worker: Worker, step: EngineFailure["step"]): Promise<void> => {
    await sleep(clock, CONNECT_TIME);
    if (killed.has(worker.id)) throw createEngineFailure(step, worker, true);
  };
  const startRun = (worker: Worker, dispatch: Dispatch): RunProgress => {
    const { id, attempt, tokens } = dispatch;
    const run = { id, worker: worker.id, attempt, startedAt: clock.now() };
    runs.push({ ...run, resumedFrom: tokens.length });
    const state = { produced: tokens.length, isFinished: false, isCancelled: false };
    progress.set(`${worker.id} ${id}`, state);
    void produceTokens(worker, { state, total: answerTokensOf(dispatch) });
    return state;
  };
  const produceTokens = async (
    worker: Worker,
    { state, total }: { state: RunProgress; total: number },
  ): Promise<void> => {
    while (state.produced < total && !state.isCancelled && !killed.has(worker.id)) {
      await sleep(clock, TOKEN_INTERVAL * (slowdowns.get(worker.id) ?? 1));
      state.produced++;
    }
    state.isFinished = true;
  };
  const streamEvents = async function* (
    worker: Worker,
    options: { state: RunProgress; from: number; signal: AbortSignal },
  ): AsyncGenerator<EngineEvent> {
    const generation = connectionGenerations.get(worker.id) ?? 0;
    const { state, signal } = options;
    let index = options.from;
    for (;;) {
      if (killed.has(worker.id)) throw createEngineFailure("stream", worker, false);
      signal.throwIfAborted();
      const isHanging = (connectionGenerations.get(worker.id) ?? 0) !== generation;
      while (!isHanging && index < state.produced) {
        yield { kind: "token", index, text: `t${index} ` };
        index++;
      }
      if (!isHanging && state.isFinished && index >= state.produced) break;
      await sleep(clock, TOKEN_INTERVAL / 2, { signal });
    }
    yield { kind: "finished", reason: state.isCancelled ? CANCELLED_RUN : "stop" };
  };
  const connect = (whenRunning: () => Promise<void> = () => Promise.resolve()): Engine => ({
    run: async function* (worker, dispatch, signal) {
      await connectTo(worker, "connect");
      if (barred.has(`${worker.id} ${dispatch.id}`)) {
        yield { kind: "status", status: 409, body: "barred" };
        return;
      }
      const from = dispatch.tokens.length;
      const state = startRun(worker, dispatch);
      await whenRunning();
      const isImported = dispatch.cache !== undefined;
      yield { kind: "started", recomputed: isImported ? 0 : from, cached: isImported ? from : 0 };
      for await (const event of streamEvents(worker, { state, from, signal })) {
        await whenRunning();
        yield event;
      }
    },
    attach: async function* (worker, id, { fromToken, signal }) {
      await connectTo(worker, "connect");
      const state = progress.get(`${worker.id} ${id}`);
      if (state === undefined) {
        yield { kind: "status", status: 404, body: "unknown request" };
        return;
      }
      for await (const event of streamEvents(worker, { state, from: fromToken, signal })) {
        await whenRunning();
        yield event;
      }
    },
    cancel: async (worker, id) => {
      await connectTo(worker, "order");
      const state = progress.get(`${worker.id} ${id}`);
      if (state === undefined || state.isFinished) return;
      state.isCancelled = true;
      const run = runs.findLast(
        (candidate) => candidate.worker === worker.id && candidate.id === id,
      );
      if (run !== undefined) run.cancelledAt ??= clock.now();
    },
    queryRequest: async (worker, id, { bar }) => {
      await connectTo(worker, "order");
      const state = progress.get(`${worker.id} ${id}`);
      if (state === undefined && bar) barred.add(`${worker.id} ${id}`);
      await whenRunning();
      return stateOf(state, bar);
    },
    exportCache: async (worker, id) => {
      await connectTo(worker, "order");
      return `${worker.id}/${id}`;
    },
    fetchLoad: async (worker) => {
      await connectTo(worker, "order");
      const running = [...progress].filter(
        ([key, state]) => key.startsWith(`${worker.id} `) && !state.isFinished,
      ).length;
      const load = { running, waiting: 0, cacheTokens: 0, cacheCapacity: 100_000, loaded: [] };
      return { worker: worker.id, takenAt: clock.now(), ...load };
    },
    setDesiredState: (worker) => connectTo(worker, "order"),
  });
  return {
    connect,
    runs,
    kill: (worker) => killed.add(worker),
    hangOpenConnections: (worker) =>
      connectionGenerations.set(worker, (connectionGenerations.get(worker) ?? 0) + 1),
    setSlowdown: (worker, factor) => slowdowns.set(worker, factor),
  };
}

function stateOf(runProgress: RunProgress | undefined, bar: boolean): EngineRequestState {
  if (runProgress === undefined)
    return bar ? EngineRequestState.Barred : EngineRequestState.Unknown;
  if (runProgress.isCancelled) return EngineRequestState.Cancelled;
  return runProgress.isFinished ? EngineRequestState.Finished : EngineRequestState.Running;
}

function answerTokensOf(dispatch: Dispatch): number {
  const body = JSON.parse(dispatch.body) as { max_tokens?: number };
  return body.max_tokens ?? DEFAULT_ANSWER_TOKENS;
}

function createEngineFailure(
  step: EngineFailure["step"],
  worker: Worker,
  notSent: boolean,
): EngineFailure {
  const error = new Error(`Call to ${worker.id} failed at ${step}: the server is not running.`);
  return Object.assign(error, { step, peer: worker.id, notSent });
}

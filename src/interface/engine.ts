import type { Worker } from "./machine.ts";

/** A request as it is sent to a backend server. */
export interface Dispatch {
  readonly id: string;
  /** Increases with each attempt of the same request; responses to an older attempt are dropped. */
  readonly attempt: number;
  readonly service: string;
  /** HTTP path below the service, such as `/v1/chat/completions`; for plain services `METHOD /path`. */
  readonly path: string;
  /** The caller's body, as JSON. */
  readonly body: string;
  /** Tokens that the caller has already received; the engine continues after them. */
  readonly tokens: readonly string[];
  /** Priority in the engine's batch; a higher value runs first. */
  readonly priority: number;
  /** Milliseconds until the caller's deadline. */
  readonly timeLeft: number;
  /** The slot's epoch, sent as the fencing token to backend servers that check it. */
  readonly fence?: number;
  /** Name of an exported KV cache to start from, as returned by {@linkcode Engine.exportCache}. */
  readonly cache?: string;
}

/** The finish reason of a cancelled run. */
export const CANCELLED_RUN = "cancelled";

/** An event from a backend server that runs a request. */
export type EngineEvent =
  | {
      readonly kind: "started";
      /** Prompt and resumed tokens that were not in the prefix cache and had to be computed again. */
      readonly recomputed: number;
      /** Tokens that were found in the prefix cache. */
      readonly cached: number;
    }
  | { readonly kind: "token"; readonly index: number; readonly text: string }
  /** `reason` is {@linkcode CANCELLED_RUN} if the run was cancelled before its response was complete. */
  | { readonly kind: "finished"; readonly reason: string; readonly body?: string }
  | { readonly kind: "status"; readonly status: number; readonly body: string };

/** A load report of a backend server. It is received with a delay. */
export interface LoadReport {
  /** The worker's id. */
  readonly worker: string;
  /** When the server measured the load, in milliseconds of the clock. */
  readonly takenAt: number;
  /** The number of running requests. */
  readonly running: number;
  /** The number of requests that wait at the server. */
  readonly waiting: number;
  /** Tokens in the KV cache. */
  readonly cacheTokens: number;
  /** Capacity of the KV cache in tokens. */
  readonly cacheCapacity: number;
  /** The loaded models; a model with an adapter is listed as `MODEL+ADAPTER`. */
  readonly loaded: readonly string[];
}

/** The state of a request id at a backend server. */
export enum EngineRequestState {
  Running = "running",
  Finished = "finished",
  Cancelled = "cancelled",
  /** The server has never received the id. It may still receive it later, if a sender has it in flight. */
  Unknown = "unknown",
  /** The server refuses the id from now on. */
  Barred = "barred",
}

/** The desired state of a backend server. It is absolute, not relative to the current state, so it can be sent again. */
export interface DesiredEngineState {
  /** Fencing token: the version of the sender's lease. */
  readonly fence: number;
  /** The models that the server must have loaded. */
  readonly models: readonly string[];
  /** The role of the server, such as `serve`. */
  readonly role: string;
}

/** A client for backend servers. Failed calls reject with an {@linkcode EngineFailure}. */
export interface Engine {
  /** Runs a request. The iteration ends after an event `finished` or `status`. */
  run(worker: Worker, dispatch: Dispatch, signal: AbortSignal): AsyncIterable<EngineEvent>;
  /** Follows a request that is already running, starting at the given token. */
  attach(
    worker: Worker,
    id: string,
    options: { fromToken: number; signal: AbortSignal },
  ): AsyncIterable<EngineEvent>;
  /** Cancels a running request. */
  cancel(worker: Worker, id: string): Promise<void>;
  /** Returns the state of a request id at the server. With `bar`, the server also refuses the id from now on. */
  queryRequest(worker: Worker, id: string, options: { bar: boolean }): Promise<EngineRequestState>;
  /** Exports the KV cache of a running request. Resolves with a name for {@linkcode Dispatch.cache}. */
  exportCache(worker: Worker, id: string): Promise<string>;
  /** Fetches the server's current load. */
  fetchLoad(worker: Worker): Promise<LoadReport>;
  /** Sets the server's desired state. */
  setDesiredState(worker: Worker, order: DesiredEngineState): Promise<void>;
}

/** The error of a failed call to a backend server. */
export type EngineFailure = Error & {
  /** The step at which the call failed. */
  readonly step: "connect" | "headers" | "stream" | "order";
  /** The worker's id. */
  readonly peer: string;
  /** True only if no byte of the request can have reached the server. */
  readonly notSent: boolean;
};

import type { Worker } from "./machine.ts";

/** What is sent to a backend server to have a request run. */
export interface Dispatch {
  readonly id: string;
  /** Grows with each attempt of the same request; answers of an older one are dropped. */
  readonly attempt: number;
  readonly service: string;
  /** HTTP path below the service, `/v1/chat/completions`; for plain services `METHOD /path`. */
  readonly path: string;
  /** The caller's body, JSON. */
  readonly body: string;
  /** Tokens that the caller already has: the engine continues after them. */
  readonly tokens: readonly string[];
  /** Higher goes first in the engine's batch. */
  readonly priority: number;
  /** Milliseconds left until the caller gives up. */
  readonly timeLeft: number;
  /** Slot epoch, for backend servers that check fencing numbers. */
  readonly fence?: number;
  /** A cache export to start from, as the engine that made it named it. */
  readonly cache?: string;
}

/** The reason with which a cancelled run finishes. */
export const CANCELLED_RUN = "cancelled";

/** What a backend server says while it runs a request. */
export type EngineEvent =
  | {
      readonly kind: "started";
      /** Prompt and resumed tokens that had to be computed again, beyond the prefix cache. */
      readonly recomputed: number;
      readonly cached: number;
    }
  | { readonly kind: "token"; readonly index: number; readonly text: string }
  /** `reason` is {@linkcode CANCELLED_RUN} where the run was cancelled before its answer was whole. */
  | { readonly kind: "finished"; readonly reason: string; readonly body?: string }
  | { readonly kind: "status"; readonly status: number; readonly body: string };

/** A load report of a backend server: it lags. */
export interface LoadReport {
  readonly worker: string;
  /** When the server took the reading, in the clock's milliseconds. */
  readonly takenAt: number;
  readonly running: number;
  readonly waiting: number;
  /** Tokens of KV cache in use and in all. */
  readonly cacheTokens: number;
  readonly cacheCapacity: number;
  /** Models, with adapters as `MODEL+ADAPTER`, that are loaded. */
  readonly loaded: readonly string[];
}

/** What a backend server knows of a request id. */
export enum EngineKnowledge {
  Running = "running",
  Finished = "finished",
  Cancelled = "cancelled",
  /** Never heard of it: proves nothing while somebody may still send it. */
  Unknown = "unknown",
  /** Will refuse it from now on. */
  Barred = "barred",
}

/** An order in absolute terms: what the server is to be, not a change to it. */
export interface Order {
  /** The order-giver's lease version. */
  readonly fence: number;
  readonly models: readonly string[];
  readonly role: string;
}

/** The calls on backend servers. Failures reject with an `EngineFailure`. */
export interface Engine {
  /** Runs a request; the iteration ends after `finished` or `status`. */
  run(worker: Worker, dispatch: Dispatch, signal: AbortSignal): AsyncIterable<EngineEvent>;
  /** Joins a request that already runs, from the given token on. */
  attach(
    worker: Worker,
    id: string,
    options: { fromToken: number; signal: AbortSignal },
  ): AsyncIterable<EngineEvent>;
  cancel(worker: Worker, id: string): Promise<void>;
  /** Asks what the server knows; with `bar`, the server also refuses the id from now on. */
  ask(worker: Worker, id: string, options: { bar: boolean }): Promise<EngineKnowledge>;
  /** Exports the KV cache of a running request; resolves with the name to import it by. */
  exportCache(worker: Worker, id: string): Promise<string>;
  report(worker: Worker): Promise<LoadReport>;
  order(worker: Worker, order: Order): Promise<void>;
}

/** Where a call to a backend server failed. */
export type EngineFailure = Error & {
  readonly step: "connect" | "headers" | "stream" | "order";
  /** The worker's id. */
  readonly peer: string;
  /** True only where no byte of the request can have reached the server. */
  readonly notSent: boolean;
};

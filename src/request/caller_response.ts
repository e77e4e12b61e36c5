import type { ServerResponse } from "node:http";
import { ReceivedPart } from "../decision/index.ts";
import type { HeldBytes, ReceiveBudget } from "../decision/index.ts";
import type { Clock, ResponseHead } from "../interface/index.ts";
import type { ConnectionEnd } from "./caller_connections.ts";
import { endAfterRequest } from "./lingering_end.ts";
import type { RequestMemory } from "./request_memory.ts";
import { buildResponseHeaders } from "./routed_headers.ts";

/** Reason for which the entry instance itself ends a routed request. */
export enum RoutedRefusal {
  /** The instance has not received a configuration yet. */
  NotReady = "not-ready",
  /** No route matches the host and path of the request. */
  NoRoute = "no-route",
  /** The route requires a client account, and the key belongs to none. */
  UnknownKey = "unknown-key",
  /** The body exceeds the size limit. */
  BodyTooLarge = "body-too-large",
  /** The instance keeps too much for its callers, and most of it for this one. */
  CallerMemory = "caller-memory",
  /** The account's quota is used up. */
  QuotaUsedUp = "quota-used-up",
  /** No worker accepts the request now. */
  NoWorker = "no-worker",
  /** The expected wait exceeds the time left until the deadline. */
  Overloaded = "overloaded",
  /** The service is overloaded, and the account has reached its share of it. */
  OverShare = "over-share",
  /** Workers refused the request, and it must not be sent to any more of them. */
  Refused = "refused-by-workers",
  /** The request is in quarantine because workers crashed while running it. */
  CrashesWorkers = "crashes-workers",
  /** It isn't known at which version of the workers the stream began that the request continues. */
  VersionUnknown = "version-unknown",
  /** No worker of the version at which the stream began accepts requests any more. */
  VersionGone = "version-gone",
  /** The instance is shutting down. */
  Stopping = "stopping",
  /** The instance ended before the answer was complete; the request may have run. */
  Stopped = "stopped",
  /** The deadline passed before the request was answered. */
  DeadlinePassed = "deadline-passed",
  /** The request may have run: the worker or its response was lost. */
  WorkerLost = "worker-lost",
}

/** HTTP status of each refusal. */
const STATUS_BY_REFUSAL: Readonly<Record<RoutedRefusal, number>> = {
  [RoutedRefusal.NotReady]: 503,
  [RoutedRefusal.NoRoute]: 404,
  [RoutedRefusal.UnknownKey]: 401,
  [RoutedRefusal.BodyTooLarge]: 413,
  [RoutedRefusal.CallerMemory]: 503,
  [RoutedRefusal.QuotaUsedUp]: 429,
  [RoutedRefusal.NoWorker]: 503,
  [RoutedRefusal.Overloaded]: 503,
  [RoutedRefusal.OverShare]: 503,
  [RoutedRefusal.Refused]: 503,
  [RoutedRefusal.CrashesWorkers]: 503,
  [RoutedRefusal.VersionUnknown]: 503,
  [RoutedRefusal.VersionGone]: 503,
  [RoutedRefusal.Stopping]: 503,
  [RoutedRefusal.Stopped]: 502,
  [RoutedRefusal.DeadlinePassed]: 504,
  [RoutedRefusal.WorkerLost]: 502,
};

/** HTTP statuses that guarantee that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([401, 404, 413, 429, 503]);
const MILLISECONDS_PER_SECOND = 1_000;

/** The end of a caller's connection in a planned stop. */
export interface ClosingConnection extends Pick<ConnectionEnd, "endWithResponse" | "whenFirst"> {
  /** Whether connections end with their answers, because the instance is shutting down. */
  isStopping(): boolean;
}

/** The HTTP response to one request, on the caller's connection. */
export interface CallerResponse {
  /**
   * Whether any part of the response has been written. After that it can only be continued or
   * aborted.
   */
  readonly hasStarted: boolean;
  /** Whether the response has ended, is a refusal, or the caller has disconnected. */
  readonly isClosed: boolean;
  /** What is held of workers' responses until it can be written. It ends with the response. */
  readonly received: HeldBytes;
  /** Sends a complete worker response. */
  sendComplete(head: ResponseHead, body: Buffer): void;
  /** Starts a worker response of unknown length. */
  start(head: ResponseHead): void;
  /**
   * Writes a part of a response that was started.
   *
   * @returns False if the caller reads too slowly; the worker should then pause until `onDrain`.
   */
  write(bytes: Buffer): boolean;
  /** Ends a response that was started. */
  end(): void;
  /**
   * Closes the connection, so that the caller can't mistake a partial response for a complete one.
   */
  abort(): void;
  /**
   * Sends a refusal made by the entry instance.
   *
   * @param retryAfter Milliseconds, sent as the `Retry-After` header.
   */
  refuse(reason: RoutedRefusal, retryAfter?: number): void;
  /** Calls the listener when the caller has caught up and more may be written. */
  onDrain(listener: () => void): void;
}

/**
 * Creates the response to a request.
 *
 * @param response The Node.js response to write to.
 * @param options `connection` decides whether the connection ends with a complete answer. `budget` limits what is held of
 * workers' responses, `memory` counts what the caller hasn't read.
 */
export function createCallerResponse(
  response: ServerResponse,
  {
    clock,
    connection,
    budget,
    memory,
  }: {
    readonly clock: Clock;
    readonly connection: ClosingConnection;
    readonly budget: ReceiveBudget;
    readonly memory: Pick<RequestMemory, "setUnread">;
  },
): CallerResponse {
  let isAnswered = false;
  const received = budget.open(ReceivedPart.Answer);
  const countUnread = (): void => memory.setUnread(response.writableLength);
  response.on("drain", countUnread);
  response.once("close", () => received.close());
  const startComplete = (status: number, headers: readonly string[]): void => {
    if (connection.endWithResponse()) response.shouldKeepAlive = false;
    response.writeHead(status, [...headers]);
  };
  /**
   * Sends a complete answer. In an instance that stops, it waits for earlier answers: only then is it known whether
   * a later request has arrived, which a connection that ends with this answer would leave unanswered.
   */
  const answer = (bytes: number, send: () => void): void => {
    isAnswered = true;
    if (!connection.isStopping()) {
      send();
      return;
    }
    memory.setUnread(bytes);
    connection.whenFirst(() => {
      if (!response.destroyed) send();
    });
  };
  return {
    received,
    get hasStarted() {
      return response.headersSent;
    },
    get isClosed() {
      return isAnswered || response.writableEnded || response.destroyed;
    },
    sendComplete: (head, body) => {
      const headers = buildResponseHeaders(head);
      // An empty body keeps the worker's content length, because a HEAD response states the length
      // of a body that it does not contain.
      const length = body.length > 0 ? String(body.length) : head.byName.get("content-length");
      answer(body.length, () => {
        startComplete(
          head.status,
          length === undefined ? headers : [...headers, "Content-Length", length],
        );
        response.end(body);
        countUnread();
      });
    },
    start: (head) => void response.writeHead(head.status, buildResponseHeaders(head)),
    write: (bytes) => {
      const canContinue = response.write(bytes);
      countUnread();
      return canContinue;
    },
    end: () => void response.end(),
    abort: () => void response.destroy(),
    refuse: (reason, retryAfter) => {
      const status = STATUS_BY_REFUSAL[reason];
      const body = Buffer.from(
        JSON.stringify({ error: { reason, not_run: NOT_RUN_STATUSES.has(status) } }),
      );
      const headers = ["Content-Type", "application/json", "Content-Length", String(body.length)];
      if (retryAfter !== undefined) {
        headers.push("Retry-After", (retryAfter / MILLISECONDS_PER_SECOND).toFixed(3));
      }
      // Otherwise the rest of a body that was given up would keep the connection.
      if (reason === RoutedRefusal.CallerMemory) response.shouldKeepAlive = false;
      answer(body.length, () => {
        startComplete(status, headers);
        endAfterRequest(response, body, clock);
      });
    },
    onDrain: (listener) => void response.on("drain", listener),
  };
}

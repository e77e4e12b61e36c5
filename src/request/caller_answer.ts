import type { ServerResponse } from "node:http";
import type { AnswerHead } from "../interface/index.ts";
import { answerHeaders } from "./routed_headers.ts";

/** Why a routed request was ended by the entry instance itself. */
export enum RoutedRefusal {
  /** No configuration is known yet. */
  NotReady = "not-ready",
  NoRoute = "no-route",
  UnknownKey = "unknown-key",
  BodyTooLarge = "body-too-large",
  QuotaUsedUp = "quota-used-up",
  NoWorker = "no-worker",
  /** The wait would be longer than the time that is left. */
  Overloaded = "overloaded",
  /** Workers refused it, and it may not be offered to more. */
  Refused = "refused-by-workers",
  /** Workers crashed when they ran it. */
  CrashesWorkers = "crashes-workers",
  /** The instance is about to stop. */
  Stopping = "stopping",
  DeadlinePassed = "deadline-passed",
  /** It may have run: its worker was lost or its answer was. */
  WorkerLost = "worker-lost",
}

const STATUS: Readonly<Record<RoutedRefusal, number>> = {
  [RoutedRefusal.NotReady]: 503,
  [RoutedRefusal.NoRoute]: 404,
  [RoutedRefusal.UnknownKey]: 401,
  [RoutedRefusal.BodyTooLarge]: 413,
  [RoutedRefusal.QuotaUsedUp]: 429,
  [RoutedRefusal.NoWorker]: 503,
  [RoutedRefusal.Overloaded]: 503,
  [RoutedRefusal.Refused]: 503,
  [RoutedRefusal.CrashesWorkers]: 503,
  [RoutedRefusal.Stopping]: 503,
  [RoutedRefusal.DeadlinePassed]: 504,
  [RoutedRefusal.WorkerLost]: 502,
};

/** Statuses that promise that the request has not run. */
const NOT_RUN: ReadonlySet<number> = new Set([401, 404, 413, 429, 503]);
const MILLISECONDS = 1_000;

/** The answer to one request on the caller's connection. */
export interface CallerAnswer {
  /** Whether any of it has been written: from then on it can only be continued or cut. */
  readonly isBegun: boolean;
  /** Whether it has come to its end, or the caller has gone. */
  readonly isOver: boolean;
  /** Writes a worker's whole answer. */
  whole(head: AnswerHead, body: Buffer): void;
  /** Begins a worker's answer whose length isn't known. */
  begin(head: AnswerHead): void;
  /**
   * Writes a part of it.
   *
   * @returns False where the caller is slow and the worker should wait for `onDrain`.
   */
  write(bytes: Buffer): boolean;
  end(): void;
  /** Ends the connection, so that what was written doesn't look whole. */
  cut(): void;
  /** Writes the system's own refusal. */
  refuse(reason: RoutedRefusal, retryAfter?: number): void;
  onDrain(listener: () => void): void;
}

/**
 * Makes the answer to a request.
 *
 * @param response Where it is written.
 * @param options `closing`: whether the connection is to be closed after it, since the instance stops.
 */
export function createCallerAnswer(
  response: ServerResponse,
  { closing }: { closing: () => boolean },
): CallerAnswer {
  const start = (status: number, headers: readonly string[]): void => {
    if (closing()) response.shouldKeepAlive = false;
    response.writeHead(status, [...headers]);
  };
  return {
    get isBegun() {
      return response.headersSent;
    },
    get isOver() {
      return response.writableEnded || response.destroyed;
    },
    whole: (head, body) => {
      const headers = answerHeaders(head);
      // Without a body the length stands for one that a HEAD request didn't get.
      const length = body.length > 0 ? String(body.length) : head.byName.get("content-length");
      start(head.status, length === undefined ? headers : [...headers, "Content-Length", length]);
      response.end(body);
    },
    begin: (head) => start(head.status, answerHeaders(head)),
    write: (bytes) => response.write(bytes),
    end: () => void response.end(),
    cut: () => void response.destroy(),
    refuse: (reason, retryAfter) => {
      const status = STATUS[reason];
      const body = Buffer.from(JSON.stringify({ error: { reason, not_run: NOT_RUN.has(status) } }));
      const headers = ["Content-Type", "application/json", "Content-Length", String(body.length)];
      if (retryAfter !== undefined) {
        headers.push("Retry-After", (retryAfter / MILLISECONDS).toFixed(3));
      }
      start(status, headers);
      response.end(body);
    },
    onDrain: (listener) => void response.on("drain", listener),
  };
}

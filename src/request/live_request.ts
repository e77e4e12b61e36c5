import { Refusal, RequestState } from "../interface/index.ts";
import type { RelayEvent, RequestRecord, RetryCause } from "../interface/index.ts";

/** Reason for which this instance stops working on a request in progress. */
export enum StopReason {
  /** The caller cancelled the request. */
  Cancelled = "cancelled",
  /** The deadline has passed. */
  Deadline = "deadline",
  /** Another instance owns the request now. */
  Moved = "moved",
  /** The worker is about to be reclaimed. The request continues at another worker. */
  Reclaimed = "reclaimed",
}

/** The last event that readers of a request receive. */
export type FinalEvent = Extract<RelayEvent, { kind: "ended" | "moved" }>;

/**
 * A request in progress at its owner, with the answer so far and its readers. One task writes the
 * answer; any number of readers follow it, each starting from its own token.
 */
export class LiveRequest {
  /** The record as last written, without the tokens received since. */
  record: RequestRecord;
  /** The answer so far: each token once and in order. */
  readonly tokens: string[];
  /** Whether the acceptance may be reported to callers. */
  isAccepted = false;
  /** The event that ends every reader's iteration. */
  finalEvent: FinalEvent | undefined;
  /** Whether this owner or a previous one may have sent the request to a backend server. */
  isPossiblySent = false;
  /**
   * Ids of workers that had not started the request and have confirmed that they will refuse it.
   */
  readonly refusedBy = new Set<string>();
  /** Whether a server has run part of the request and another server continues it. */
  hasPartialRun = false;
  /** Whether this owner has sent the request to a worker. */
  isDispatched = false;
  /** Time at which this owner last sent the request, in the clock's milliseconds. */
  dispatchedAt = 0;
  /** Estimated length of the answer in tokens. */
  expectedTokens = 0;
  /** The engine's name for an export of the KV cache from which the run can continue. */
  cacheExport: string | undefined;
  /** Why the request is sent again, if a previous owner has sent it. */
  resumeCause: RetryCause | undefined;
  /** Priority in the engine's batch; higher values are processed first. */
  priority = 0;
  /** Why work on the request was stopped. Set once, by {@linkcode stop}. */
  stopReason: StopReason | undefined;
  readonly #readers = new Set<() => void>();
  readonly #stopListeners = new Set<(cause: StopReason) => void>();

  constructor(record: RequestRecord) {
    this.record = record;
    this.tokens = [...record.tokens];
  }

  /** Appends a token and notifies the readers. */
  addToken(token: string): void {
    this.tokens.push(token);
    this.notifyReaders();
  }

  /** Ends every reader's iteration with the given event. */
  finish(finalEvent: FinalEvent): void {
    this.finalEvent = finalEvent;
    this.notifyReaders();
  }

  /** Notifies the readers that there may be something new to read. */
  notifyReaders(): void {
    for (const reader of this.#readers) reader();
  }

  /** Stops work on the request permanently. Later calls have no effect. */
  stop(cause: StopReason): void {
    if (this.stopReason !== undefined) return;
    this.stopReason = cause;
    this.interrupt(cause);
  }

  /** Ends the task's current wait without stopping the request. */
  interrupt(cause: StopReason): void {
    for (const listener of [...this.#stopListeners]) listener(cause);
  }

  /**
   * Calls the listener when the task is stopped or interrupted, until the returned function is
   * called.
   */
  onStop(listener: (cause: StopReason) => void): () => void {
    this.#stopListeners.add(listener);
    return () => {
      this.#stopListeners.delete(listener);
    };
  }

  /** Returns the current record with all tokens. */
  snapshot(): RequestRecord {
    return { ...this.record, tokens: [...this.tokens], tokensFrom: 0 };
  }

  /**
   * Follows the request.
   *
   * @param from Index of the first token wanted.
   * @returns The acceptance, the tokens and one final event. The iteration ends early if the signal
   * aborts.
   */
  async *read(from: number, signal: AbortSignal): AsyncGenerator<RelayEvent> {
    let resolveWait: (() => void) | undefined;
    const notify = (): void => resolveWait?.();
    this.#readers.add(notify);
    signal.addEventListener("abort", notify);
    try {
      let nextToken = from;
      let hasReportedAcceptance = false;
      while (!signal.aborted) {
        if (this.isAccepted && !hasReportedAcceptance) {
          hasReportedAcceptance = true;
          yield { kind: "accepted", id: this.record.id };
        }
        while (hasReportedAcceptance && nextToken < this.tokens.length) {
          yield { kind: "token", index: nextToken, text: this.tokens[nextToken] ?? "" };
          nextToken++;
        }
        if (this.finalEvent !== undefined) {
          yield this.finalEvent;
          return;
        }
        // The check and the start of the wait happen in one turn of the event loop, so no token can
        // be missed.
        if (!this.#hasUnread({ hasReportedAcceptance, nextToken }) && !isAborted(signal)) {
          await new Promise<void>((resolve) => {
            resolveWait = resolve;
          });
        }
      }
    } finally {
      this.#readers.delete(notify);
      signal.removeEventListener("abort", notify);
    }
  }

  #hasUnread({
    hasReportedAcceptance,
    nextToken,
  }: {
    hasReportedAcceptance: boolean;
    nextToken: number;
  }): boolean {
    if (this.finalEvent !== undefined || (this.isAccepted && !hasReportedAcceptance)) return true;
    return hasReportedAcceptance && nextToken < this.tokens.length;
  }
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/** Creates the final event for an ended record, or for a refusal represented as one. */
export function createEndedEvent(record: RequestRecord, retryAfter?: number): FinalEvent {
  return retryAfter === undefined
    ? { kind: "ended", record }
    : { kind: "ended", record, retryAfter };
}

/**
 * Creates the final event for a request if it is unknown whether the backup has its record. The
 * caller has to query the request by its id.
 */
export function createUnknownOutcomeEvent(record: RequestRecord, retryAfter: number): FinalEvent {
  const state = RequestState.Accepted;
  const open = { ...record, state, tokens: [], reason: Refusal.BackupUnavailable };
  return createEndedEvent(open, retryAfter);
}

import { Refusal, RequestState } from "../interface/index.ts";
import type { RelayEvent, RequestRecord, RetryCause } from "../interface/index.ts";

/** Why a request in progress stops being worked on here. */
export enum Stop {
  /** The caller cancelled it. */
  Cancelled = "cancelled",
  /** Its deadline has passed. */
  Deadline = "deadline",
  /** Another instance owns it now. */
  Moved = "moved",
  /** Its worker is about to be taken: it goes on elsewhere. */
  Reclaimed = "reclaimed",
}

/** The last thing that readers of a request in progress are told. */
export type FinalEvent = Extract<RelayEvent, { kind: "ended" | "moved" }>;

/**
 * A request in progress at its owner: the answer so far, and those who read it. One task writes it; any
 * number of readers follow, each from its own token on.
 */
export class LiveRequest {
  /** The record as last written, without the tokens that have come since. */
  record: RequestRecord;
  /** The answer so far, each token once and in order. */
  readonly tokens: string[];
  /** Whether callers may be told that it is accepted. */
  accepted = false;
  /** What ends every reader's iteration. */
  final: FinalEvent | undefined;
  /** Whether a backend server may have been sent it, by this owner or an earlier one. */
  sent = false;
  /** Workers that have said that they refuse it from now on, because they had not begun it. */
  readonly barredAt = new Set<string>();
  /** Whether a server has run a part of it that is gone on from elsewhere. */
  partlyRun = false;
  /** Whether this owner has sent it. */
  dispatched = false;
  /** When this owner sent it last, in the clock's milliseconds. */
  dispatchedAt = 0;
  /** Tokens that the answer is expected to come to. */
  expectedTokens = 0;
  /** An export of its KV cache to go on from, as the engine named it. */
  cache: string | undefined;
  /** Why it is sent again, where an earlier owner has sent it. */
  resumeCause: RetryCause | undefined;
  /** Higher goes first in the engine's batch. */
  priority = 0;
  /** Set once by {@linkcode stop}. */
  stopped: Stop | undefined;
  readonly #readers = new Set<() => void>();
  readonly #stopping = new Set<(cause: Stop) => void>();

  constructor(record: RequestRecord) {
    this.record = record;
    this.tokens = [...record.tokens];
  }

  /** Appends a token and wakes the readers. */
  add(token: string): void {
    this.tokens.push(token);
    this.wake();
  }

  /** Ends every reader's iteration with the given event. */
  finish(final: FinalEvent): void {
    this.final = final;
    this.wake();
  }

  /** Wakes the readers to look again. */
  wake(): void {
    for (const reader of this.#readers) reader();
  }

  /** Has the task stop working on the request, for good. */
  stop(cause: Stop): void {
    if (this.stopped !== undefined) return;
    this.stopped = cause;
    this.interrupt(cause);
  }

  /** Ends what the task waits for at present, without stopping the request. */
  interrupt(cause: Stop): void {
    for (const listener of [...this.#stopping]) listener(cause);
  }

  /** Calls the listener when the task is stopped or interrupted, until the returned function is called. */
  onStop(listener: (cause: Stop) => void): () => void {
    this.#stopping.add(listener);
    return () => {
      this.#stopping.delete(listener);
    };
  }

  /** The record as it stands, with all tokens. */
  snapshot(): RequestRecord {
    return { ...this.record, tokens: [...this.tokens], tokensFrom: 0 };
  }

  /**
   * Follows the request.
   *
   * @param from Index of the first token wanted.
   * @returns Accepted, the tokens, and one final event; ends early once the signal aborts.
   */
  async *read(from: number, signal: AbortSignal): AsyncGenerator<RelayEvent> {
    let woken: (() => void) | undefined;
    const wake = (): void => woken?.();
    this.#readers.add(wake);
    signal.addEventListener("abort", wake);
    try {
      let next = from;
      let told = false;
      while (!signal.aborted) {
        if (this.accepted && !told) {
          told = true;
          yield { kind: "accepted", id: this.record.id };
        }
        while (told && next < this.tokens.length) {
          yield { kind: "token", index: next, text: this.tokens[next] ?? "" };
          next++;
        }
        if (this.final !== undefined) {
          yield this.final;
          return;
        }
        // Reading and waiting are one step of the event loop: no token can come between.
        if (!this.#hasNews({ told, next }) && !isAborted(signal)) {
          await new Promise<void>((resolve) => {
            woken = resolve;
          });
        }
      }
    } finally {
      this.#readers.delete(wake);
      signal.removeEventListener("abort", wake);
    }
  }

  #hasNews({ told, next }: { told: boolean; next: number }): boolean {
    if (this.final !== undefined || (this.accepted && !told)) return true;
    return told && next < this.tokens.length;
  }
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/** The final event that tells a record's end, or a refusal in its shape. */
export function endedEvent(record: RequestRecord, retryAfter?: number): FinalEvent {
  return retryAfter === undefined
    ? { kind: "ended", record }
    : { kind: "ended", record, retryAfter };
}

/** The final event for a request whose copy at the backup is in doubt: the caller asks again with the id. */
export function notKnownYet(record: RequestRecord, retryAfter: number): FinalEvent {
  const state = RequestState.Accepted;
  const open = { ...record, state, tokens: [], reason: Refusal.BackupUnavailable };
  return endedEvent(open, retryAfter);
}

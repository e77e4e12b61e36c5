import { CANCELLED_RUN, RetryCause } from "../interface/index.ts";
import type { EngineEvent, EngineFailure } from "../interface/index.ts";
import type { Environment } from "./environment.ts";
import { StopReason } from "./live_request.ts";
import type { LiveRequest } from "./live_request.ts";
import { createSilenceWatch } from "./silence_watch.ts";

/** The end of a stream from a backend server. */
export type StreamEnd =
  /** The answer is complete. */
  | { readonly kind: "finished"; readonly reason: string; readonly body: string }
  /** The server responded with an HTTP status instead of a stream. */
  | { readonly kind: "status"; readonly status: number; readonly body: string }
  /** No event arrived within the progress timeout. */
  | { readonly kind: "silent" }
  /** The connection failed or ended before the answer was complete. */
  | { readonly kind: "broken"; readonly notSent: boolean; readonly detail: string }
  /** The request was stopped or interrupted. */
  | { readonly kind: "stopped"; readonly cause: StopReason };

/** Time limits, in milliseconds, for the next event from a backend server. */
export interface ProgressTimeouts {
  /** Limit until the server reports that it has started. */
  readonly start: number;
  /** From then until the first token. */
  readonly firstToken: number;
  /** Between two tokens. */
  readonly nextToken: number;
}

/**
 * The limits for every stream. The first token has the longest one, because an engine may queue
 * requests.
 */
export const PROGRESS_TIMEOUTS: ProgressTimeouts = {
  start: 5_000,
  firstToken: 30_000,
  nextToken: 3_000,
};

/** Options of {@linkcode followEngine}. */
export interface StreamOptions {
  /** Id of the worker. */
  readonly worker: string;
  /** Opens the stream; aborting the signal ends it. */
  readonly open: (signal: AbortSignal) => AsyncIterable<EngineEvent>;
  /** Why the request is sent again; undefined for the first time. */
  readonly cause: RetryCause | undefined;
  /** Called after each new token. */
  readonly onToken: () => void;
}

/**
 * Reads one stream from a backend server and appends its tokens to the request's answer.
 *
 * An open connection can stop delivering data permanently without an error, because a device between
 * the ends has lost its state. The answer would then stop until the deadline. A timeout for each next
 * event detects this. The end of the iteration alone proves nothing: only a `finished` event completes
 * an answer.
 */
export async function followEngine(
  { clock, counters, scheduler }: Environment,
  live: LiveRequest,
  options: StreamOptions,
): Promise<StreamEnd> {
  const controller = new AbortController();
  let stopReason: StopReason | undefined = live.stopReason;
  let isSilent = false;
  const removeStopListener = live.onStop((cause) => {
    stopReason = cause;
    controller.abort(new Error(`The request was stopped: ${cause}.`));
  });
  const silenceWatch = createSilenceWatch(clock, PROGRESS_TIMEOUTS.start, () => {
    isSilent = true;
    controller.abort(
      new Error(`Worker ${options.worker} sent nothing within the progress timeout.`),
    );
  });
  const progress = { hasToken: false, isComplete: false, lastTokenAt: clock.now() };
  const handleToken = (event: Extract<EngineEvent, { kind: "token" }>): boolean => {
    if (event.index < live.tokens.length) {
      counters.count("token.duplicate");
      return true;
    }
    if (event.index > live.tokens.length) return false;
    const now = clock.now();
    if (!progress.hasToken) {
      scheduler.recordFirstToken(live.record.id, now, options.worker);
      progress.hasToken = true;
    } else {
      scheduler.recordToken(live.record.id, now, options.worker);
      counters.betweenTokens(live.record.service, now - progress.lastTokenAt);
    }
    progress.lastTokenAt = now;
    live.addToken(event.text);
    options.onToken();
    return true;
  };
  const interruptedEnd = (): StreamEnd | undefined => {
    if (stopReason !== undefined) return { kind: "stopped", cause: stopReason };
    return isSilent ? { kind: "silent" } : undefined;
  };
  try {
    for await (const event of options.open(controller.signal)) {
      const interrupted = interruptedEnd();
      if (interrupted !== undefined) return interrupted;
      const { firstToken, nextToken } = PROGRESS_TIMEOUTS;
      silenceWatch.restart(event.kind === "token" || progress.hasToken ? nextToken : firstToken);
      if (event.kind === "finished") {
        // A previous owner cancels a run when it moves the request. An instance that still follows
        // the run has received a truncated answer and must not send it to the caller as complete.
        if (event.reason === CANCELLED_RUN) {
          return {
            kind: "broken",
            notSent: false,
            detail: "The run was cancelled at its backend server.",
          };
        }
        progress.isComplete = true;
        return { kind: "finished", reason: event.reason, body: event.body ?? "" };
      }
      if (event.kind === "status") return event;
      if (event.kind === "started" && options.cause !== undefined && event.recomputed > 0) {
        counters.recomputed(options.cause, event.recomputed);
      }
      if (event.kind === "token" && !handleToken(event)) {
        return { kind: "broken", notSent: false, detail: "The answer lacks tokens." };
      }
    }
    return (
      interruptedEnd() ?? {
        kind: "broken",
        notSent: false,
        detail: "The answer ended before it was complete.",
      }
    );
  } catch (error) {
    return interruptedEnd() ?? toBrokenEnd(error);
  } finally {
    silenceWatch.close();
    removeStopListener();
    if (!progress.isComplete) controller.abort(new Error("The stream is no longer followed."));
  }
}

function toBrokenEnd(error: unknown): StreamEnd {
  const failure = error as Partial<EngineFailure>;
  return { kind: "broken", notSent: failure.notSent === true, detail: String(error) };
}

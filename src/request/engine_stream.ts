import { CANCELLED_RUN, RetryCause } from "../interface/index.ts";
import type { EngineEvent, EngineFailure } from "../interface/index.ts";
import type { Environment } from "./environment.ts";
import { Stop } from "./live_request.ts";
import type { LiveRequest } from "./live_request.ts";

/** How following a backend server's answer ended. */
export type StreamEnd =
  | { readonly kind: "finished"; readonly reason: string; readonly body: string }
  /** The server responded with an HTTP status instead of a stream. */
  | { readonly kind: "status"; readonly status: number; readonly body: string }
  /** No event arrived within the progress timeout. */
  | { readonly kind: "silent" }
  /** The connection failed or ended before the answer was complete. */
  | { readonly kind: "broken"; readonly notSent: boolean; readonly detail: string }
  | { readonly kind: "stopped"; readonly cause: Stop };

/** Time limits, in milliseconds, for the next event from a backend server. */
export interface ProgressLimits {
  /** Limit until the server reports that it has started. */
  readonly start: number;
  readonly firstToken: number;
  readonly nextToken: number;
}

/**
 * The limits for every stream. The first token has the longest one, because an engine may queue
 * requests.
 */
export const PROGRESS_LIMITS: ProgressLimits = {
  start: 5_000,
  firstToken: 30_000,
  nextToken: 3_000,
};

/** Options of {@linkcode followEngine}. */
export interface StreamOptions {
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
 * An open connection can stop delivering data permanently without an error, because a
 * device between the ends has lost its state. The answer would then stop until the deadline. A timeout
 * for each next event detects this. The end of the iteration alone proves nothing: only a
 * `finished` event completes an answer.
 */
export async function followEngine(
  { clock, counters, scheduler }: Environment,
  live: LiveRequest,
  options: StreamOptions,
): Promise<StreamEnd> {
  const ending = new AbortController();
  let stopped: Stop | undefined = live.stopped;
  let silent = false;
  const offStop = live.onStop((cause) => {
    stopped = cause;
    ending.abort(new Error(`The request was stopped: ${cause}.`));
  });
  const watch = watchProgress(clock, () => {
    silent = true;
    ending.abort(new Error(`Worker ${options.worker} sent nothing within the progress timeout.`));
  });
  const seen = { token: false, whole: false, at: clock.now() };
  const hearToken = (event: Extract<EngineEvent, { kind: "token" }>): boolean => {
    if (event.index < live.tokens.length) {
      counters.count("token.duplicate");
      return true;
    }
    if (event.index > live.tokens.length) return false;
    const now = clock.now();
    if (!seen.token) {
      scheduler.firstToken(live.record.id, now, options.worker);
      seen.token = true;
    } else {
      scheduler.token(live.record.id, now, options.worker);
      counters.betweenTokens(live.record.service, now - seen.at);
    }
    seen.at = now;
    live.add(event.text);
    options.onToken();
    return true;
  };
  const ended = (): StreamEnd | undefined => {
    if (stopped !== undefined) return { kind: "stopped", cause: stopped };
    return silent ? { kind: "silent" } : undefined;
  };
  try {
    for await (const event of options.open(ending.signal)) {
      const early = ended();
      if (early !== undefined) return early;
      watch.progress(event.kind === "token" || seen.token ? "nextToken" : "firstToken");
      if (event.kind === "finished") {
        // A previous owner cancels a run when it moves the request. For an instance that still
        // follows the run, the answer is truncated; treated as complete, it would reach the caller
        // truncated.
        if (event.reason === CANCELLED_RUN) {
          return {
            kind: "broken",
            notSent: false,
            detail: "The run was cancelled at its backend server.",
          };
        }
        seen.whole = true;
        return { kind: "finished", reason: event.reason, body: event.body ?? "" };
      }
      if (event.kind === "status") return event;
      if (event.kind === "started" && options.cause !== undefined && event.recomputed > 0) {
        counters.recomputed(options.cause, event.recomputed);
      }
      if (event.kind === "token" && !hearToken(event)) {
        return { kind: "broken", notSent: false, detail: "The answer lacks tokens." };
      }
    }
    return (
      ended() ?? {
        kind: "broken",
        notSent: false,
        detail: "The answer ended before it was complete.",
      }
    );
  } catch (error) {
    return ended() ?? brokenBy(error);
  } finally {
    watch.close();
    offStop();
    if (!seen.whole) ending.abort(new Error("The stream is no longer followed."));
  }
}

function brokenBy(error: unknown): StreamEnd {
  const failure = error as Partial<EngineFailure>;
  return { kind: "broken", notSent: failure.notSent === true, detail: String(error) };
}

interface ProgressWatch {
  progress(next: keyof ProgressLimits): void;
  close(): void;
}

/**
 * Uses one timer for the whole stream: it checks the time since the last event and restarts itself.
 */
function watchProgress(clock: Environment["clock"], onSilence: () => void): ProgressWatch {
  let limit = PROGRESS_LIMITS.start;
  let last = clock.now();
  const check = (): void => {
    const left = last + limit - clock.now();
    if (left > 0) timer = clock.after(left, check);
    else onSilence();
  };
  let timer = clock.after(limit, check);
  return {
    progress: (next) => {
      const before = limit;
      limit = PROGRESS_LIMITS[next];
      last = clock.now();
      if (limit >= before) return;
      timer.close();
      timer = clock.after(limit, check);
    },
    close: () => timer.close(),
  };
}

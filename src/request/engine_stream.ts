import { CANCELLED_RUN, RetryCause } from "../interface/index.ts";
import type { EngineEvent, EngineFailure } from "../interface/index.ts";
import type { Environment } from "./environment.ts";
import { Stop } from "./live_request.ts";
import type { LiveRequest } from "./live_request.ts";

/** How following a backend server's answer ended. */
export type StreamEnd =
  | { readonly kind: "finished"; readonly reason: string; readonly body: string }
  /** The server answered with a status of its own instead. */
  | { readonly kind: "status"; readonly status: number; readonly body: string }
  /** Nothing came within the progress deadline. */
  | { readonly kind: "silent" }
  /** The connection failed, or ended in mid-answer. */
  | { readonly kind: "broken"; readonly notSent: boolean; readonly detail: string }
  | { readonly kind: "stopped"; readonly cause: Stop };

/** Milliseconds within which something is to come from a backend server. */
export interface ProgressLimits {
  /** Until the server says that it has begun. */
  readonly start: number;
  readonly firstToken: number;
  readonly nextToken: number;
}

/** The limits of every stream. A queue in the engine is legitimate, so the first token has longest. */
export const PROGRESS_LIMITS: ProgressLimits = {
  start: 5_000,
  firstToken: 30_000,
  nextToken: 3_000,
};

/** What {@linkcode followEngine} is called with besides the request. */
export interface StreamOptions {
  readonly worker: string;
  /** Opens the stream; aborting the signal ends it. */
  readonly open: (signal: AbortSignal) => AsyncIterable<EngineEvent>;
  /** Why the request is sent again, where this is not its first time. */
  readonly cause: RetryCause | undefined;
  /** Called after each new token. */
  readonly onToken: () => void;
}

/**
 * Follows one stream of a backend server into the request's answer.
 *
 * An open connection can go silent for good without an error, because something between the ends has lost
 * track of it: the answer would stop in mid-sentence until the deadline. A deadline for each next event
 * notices it. The iteration's own end proves nothing: only `finished` completes an answer.
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
    ending.abort(new Error(`Nothing came from ${options.worker} in time.`));
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
        // An earlier owner cancels a run that it moves; to whoever still follows it the answer is cut, and
        // taken for whole it would reach the caller truncated.
        if (event.reason === CANCELLED_RUN) {
          return { kind: "broken", notSent: false, detail: "The run was cancelled at its server." };
        }
        seen.whole = true;
        return { kind: "finished", reason: event.reason, body: event.body ?? "" };
      }
      if (event.kind === "status") return event;
      if (event.kind === "started" && options.cause !== undefined && event.recomputed > 0) {
        counters.recomputed(options.cause, event.recomputed);
      }
      if (event.kind === "token" && !hearToken(event)) {
        return { kind: "broken", notSent: false, detail: "Tokens are missing in the answer." };
      }
    }
    return ended() ?? { kind: "broken", notSent: false, detail: "The answer ended half-way." };
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

/** One timer for the whole stream: it looks how long nothing came and sets itself again. */
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

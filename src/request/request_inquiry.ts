import { EngineRequestState, Refusal } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";
import { reattach } from "./engine_attempt.ts";
import { StopReason } from "./live_request.ts";
import type { LiveRequest } from "./live_request.ts";
import { unlessStopped } from "./run_context.ts";
import type { RunContext } from "./run_context.ts";
import { abandonedOutcome, toOutcome, stopOutcome } from "./run_outcome.ts";
import type { RunOutcome } from "./run_outcome.ts";

/**
 * Cancels a request that may not be repeated at a server with a reclaim notice, to continue it at
 * another one.
 *
 * An accepted request must survive the reclaim and must not run twice. It is therefore moved rather
 * than restarted: the server first confirms that it has stopped, and the next one continues from
 * the exported KV cache or the tokens received. If no token has been received or the server doesn't
 * confirm, the request stays at its server.
 *
 * @returns True if the request may continue at another server.
 */
export async function cancelForMove(
  { environment }: RunContext,
  live: LiveRequest,
  worker: Worker,
): Promise<boolean> {
  if (live.tokens.length === 0) return false;
  const stopped = environment.engine.cancel(worker, live.record.id).then(
    () => true,
    () => false,
  );
  if ((await unlessStopped(live, stopped)) !== true) return false;
  markMovable(live, worker);
  return true;
}

/**
 * Marks the request as stopped at the server. Another server may continue it from the tokens
 * received.
 */
function markMovable(live: LiveRequest, worker: Worker): void {
  live.hasPartialRun = true;
  live.isPossiblySent = false;
  live.refusedBy.add(worker.id);
}

/** Asks the server that may have the request, and follows the run there if there is one. */
export async function inquireAtRecordedWorker(
  context: RunContext,
  live: LiveRequest,
): Promise<RunOutcome | undefined> {
  const { workers } = context.environment;
  live.isPossiblySent = true;
  const worker = workers.find(live.record.worker);
  if (worker !== undefined) return inquireAtWorker(context, live, worker);
  return abandonedOutcome(
    live,
    Refusal.BackendLost,
    "The backend server that may have run the request is gone.",
  );
}

/**
 * Asks the server for the state of the request. If the server hasn't started it, the server refuses
 * it from now on, so a message that was permitted earlier and arrives late has no effect.
 *
 * @returns The outcome, or undefined if the request may be sent to another server: it has certainly
 * not run, or it was stopped and can continue from the tokens received.
 */
export async function inquireAtWorker(
  context: RunContext,
  live: LiveRequest,
  worker: Worker,
): Promise<RunOutcome | undefined> {
  const { engine } = context.environment;
  const { id } = live.record;
  const inquiry = engine
    .queryRequest(worker, id, { bar: true })
    .catch(() => EngineRequestState.Unknown);
  const state = await unlessStopped(live, inquiry);
  if (live.stopReason !== undefined) return stopOutcome(live);
  if (state === EngineRequestState.Barred) {
    live.isPossiblySent = false;
    live.refusedBy.add(worker.id);
    return undefined;
  }
  if (state === EngineRequestState.Cancelled && live.tokens.length > 0) {
    markMovable(live, worker);
    return undefined;
  }
  if (state === EngineRequestState.Running || state === EngineRequestState.Finished) {
    const end = await reattach(context, live, { worker, cause: undefined });
    const outcome = toOutcome(end, live);
    if (outcome !== undefined) return outcome;
    if (end.kind === "stopped" && end.cause === StopReason.Reclaimed) {
      const isCancelled = await cancelForMove(context, live, worker);
      return isCancelled ? undefined : inquireAtWorker(context, live, worker);
    }
  }
  return abandonedOutcome(
    live,
    Refusal.BackendLost,
    "The backend server that may have run the request was lost.",
  );
}

import { RequestState, RetryCause } from "../interface/index.ts";
import type { Dispatch, Worker } from "../interface/index.ts";
import { followEngine } from "./engine_stream.ts";
import type { StreamEnd } from "./engine_stream.ts";
import type { LiveRequest } from "./live_request.ts";
import { timeLeft } from "./run_context.ts";
import type { RunContext } from "./run_context.ts";
import { isRefused } from "./run_outcome.ts";
import { ownsSlot } from "./slot_replica.ts";

/**
 * Number of successive new connections to the same server that deliver no token before the run
 * counts as lost.
 */
const MAX_ATTACH_ATTEMPTS = 2;
/**
 * Tokens, and milliseconds, after which the progress of a replicated answer is sent to the backup.
 */
const COPY_TOKEN_INTERVAL = 50;
const COPY_TIME_INTERVAL = 100;
/**
 * Milliseconds after which the backup is informed once of the worker that runs any other request.
 */
const WORKER_COPY_DELAY = 250;

/** Options for following a request at a worker. */
export interface SendOptions {
  /** The worker that runs the request or is to run it. */
  readonly worker: Worker;
  /** Why the request is sent again; undefined for the first time. */
  readonly cause: RetryCause | undefined;
}

/**
 * Sends the request to the worker. Must be called without any wait after permission was granted.
 */
export async function dispatch(
  context: RunContext,
  live: LiveRequest,
  { worker, cause }: SendOptions,
): Promise<StreamEnd> {
  const { environment } = context;
  const wasPossiblySent = live.isPossiblySent;
  live.isPossiblySent = true;
  live.isDispatched = true;
  live.dispatchedAt = environment.clock.now();
  const attempt = live.record.repeatable ? live.record.attempt + 1 : live.record.attempt;
  live.record = { ...live.record, state: RequestState.Dispatched, worker: worker.id, attempt };
  const message = createDispatch(context, live);
  live.cacheExport = undefined;
  const end = await followEngine(environment, live, {
    worker: worker.id,
    open: (signal) => environment.engine.run(worker, message, signal),
    cause,
    onToken: createProgressCopier(context, live),
  });
  if (isRefused(end)) {
    live.isPossiblySent = wasPossiblySent;
    return end;
  }
  const isLost = end.kind === "silent" || end.kind === "broken";
  return isLost ? reattach(context, live, { worker, cause }) : end;
}

function createDispatch(context: RunContext, live: LiveRequest): Dispatch {
  const { id, attempt, service, path, body, slot } = live.record;
  return {
    id,
    attempt,
    service,
    path,
    body,
    tokens: [...live.tokens],
    priority: live.priority,
    timeLeft: timeLeft(context, live),
    fence: context.table.get(slot).assignment.epoch,
    ...(live.cacheExport === undefined ? {} : { cache: live.cacheExport }),
  };
}

/**
 * Attaches to a running request through a new connection. A connection without data does not show
 * that the server has failed, and sending the request to another server would compute the answer
 * again.
 */
export async function reattach(
  context: RunContext,
  live: LiveRequest,
  { worker, cause }: SendOptions,
): Promise<StreamEnd> {
  const { engine, counters } = context.environment;
  let end: StreamEnd = { kind: "silent" };
  for (let tries = 0; tries < MAX_ATTACH_ATTEMPTS && live.stopReason === undefined; tries++) {
    counters.retried(RetryCause.SilentConnection);
    const tokensBefore = live.tokens.length;
    end = await followEngine(context.environment, live, {
      worker: worker.id,
      open: (signal) =>
        engine.attach(worker, live.record.id, { fromToken: live.tokens.length, signal }),
      cause,
      onToken: createProgressCopier(context, live),
    });
    if (end.kind !== "silent" && end.kind !== "broken") return end;
    if (live.tokens.length > tokensBefore) tries = -1;
  }
  if (live.stopReason !== undefined) return { kind: "stopped", cause: live.stopReason };
  // If this connection sent nothing, the earlier one may still have sent the request.
  return end.kind === "broken" ? { ...end, notSent: false } : end;
}

/**
 * Creates a listener that periodically sends the tokens to the backup, for an answer that must
 * survive its owner.
 */
function createProgressCopier(context: RunContext, live: LiveRequest): () => void {
  const { repeatable, detached, keyed } = live.record;
  if (repeatable && !detached && !keyed) return createOneTimeCopier(context, live);
  const { clock } = context.environment;
  let copiedTokens = live.tokens.length;
  let copiedAt = clock.now();
  return () => {
    const now = clock.now();
    if (
      live.tokens.length - copiedTokens < COPY_TOKEN_INTERVAL &&
      now - copiedAt < COPY_TIME_INTERVAL
    )
      return;
    copiedTokens = live.tokens.length;
    copiedAt = now;
    if (writeProgress(context, live)) context.replicator.send(live.record);
  };
}

/**
 * Creates a listener that sends the backup the request's worker once. Without it, a new owner could
 * not attach to the run at its worker, and the whole answer would be computed again.
 */
function createOneTimeCopier(context: RunContext, live: LiveRequest): () => void {
  const { clock } = context.environment;
  const startedAt = clock.now();
  let isDone = false;
  return () => {
    if (isDone || clock.now() - startedAt < WORKER_COPY_DELAY) return;
    isDone = true;
    if (writeProgress(context, live)) context.replicator.send(live.record);
  };
}

/** Writes the answer so far to the slot. Returns false if this instance doesn't own the slot. */
export function writeProgress({ table }: RunContext, live: LiveRequest): boolean {
  if (live.finalEvent !== undefined || !ownsSlot(table.get(live.record.slot))) return false;
  const { state } = live.record;
  const isStreaming = state === RequestState.Dispatched && live.tokens.length > 0;
  const snapshot = live.snapshot();
  live.record = table.write(
    isStreaming ? { ...snapshot, state: RequestState.Streaming } : snapshot,
  );
  return true;
}

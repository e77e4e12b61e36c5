import { RunEnd } from "../decision/index.ts";
import type { Job } from "../decision/index.ts";
import {
  isFinalRequestState,
  Refusal,
  RequestState,
  RetryCause,
  sleep,
} from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";
import { reattach, dispatch } from "./engine_attempt.ts";
import { StopReason } from "./live_request.ts";
import type { LiveRequest } from "./live_request.ts";
import { finishRequest } from "./request_end.ts";
import { inquireAtRecordedWorker, inquireAtWorker, cancelForMove } from "./request_inquiry.ts";
import { timeLeft, unlessStopped } from "./run_context.ts";
import type { RunContext } from "./run_context.ts";
import {
  toRetryCause,
  describeEnd,
  abandonedOutcome,
  toOutcome,
  toRunEnd,
  stopOutcome,
} from "./run_outcome.ts";
import type { RunOutcome } from "./run_outcome.ts";
import { ownsSlot, Permission, permissionToSend } from "./slot_replica.ts";

/** Options of {@linkcode runRequest}. */
export interface RunOptions {
  readonly job: Job;
  /**
   * Whether a previous owner may have sent the request. It is then only inquired about, never sent
   * again.
   */
  readonly isInquiry: boolean;
}

/**
 * Milliseconds to wait for the backup's acknowledgement of an intent before the worker is chosen
 * again.
 */
const INTENT_TIMEOUT = 2_000;
/** Milliseconds without a placement after which workers that failed the job may be tried again. */
const AVOID_DURATION = 2_000;
/** Maximum wait for a change of the workers or the slot map, in milliseconds. */
const CHANGE_TIMEOUT = 100;

/**
 * Runs an accepted request to its end. It waits for its turn, is sent to a worker and continues at
 * another one where that is allowed. When the promise resolves, the readers have received the end.
 */
export async function runRequest(
  context: RunContext,
  live: LiveRequest,
  { job, isInquiry }: RunOptions,
): Promise<void> {
  const { clock, scheduler } = context.environment;
  live.expectedTokens = job.estimate.answerTokens;
  const deadline = clock.after(timeLeft(context, live), () => live.stop(StopReason.Deadline));
  try {
    const inquired = isInquiry ? await inquireAtRecordedWorker(context, live) : undefined;
    const outcome = inquired ?? (await waitAndRun(context, live, job));
    await finishRequest(context, live, outcome);
  } finally {
    deadline.close();
    scheduler.jobEnded(job, clock.now());
    context.queue.updateConcurrency();
  }
}

async function waitAndRun(context: RunContext, live: LiveRequest, job: Job): Promise<RunOutcome> {
  const controller = new AbortController();
  const removeStopListener = live.onStop(() => {
    if (live.stopReason !== undefined) controller.abort(new Error("The request was stopped."));
  });
  if (live.stopReason !== undefined) controller.abort(new Error("The request was stopped."));
  const options = { signal: controller.signal };
  try {
    const outcome = await context.queue.run(job, () => runOnWorkers(context, live, job), options);
    return outcome ?? stopOutcome(live);
  } catch (error) {
    if (live.stopReason === undefined) throw error;
    return stopOutcome(live);
  } finally {
    removeStopListener();
  }
}

async function runOnWorkers(context: RunContext, live: LiveRequest, job: Job): Promise<RunOutcome> {
  const { clock, counters, engine, random, scheduler, workers } = context.environment;
  let cause = live.resumeCause;
  const previous = workers.find(live.record.worker);
  if (previous !== undefined && live.record.repeatable && live.isPossiblySent) {
    const end = await reattach(context, live, { worker: previous, cause });
    const outcome = toOutcome(end, live);
    if (outcome !== undefined) return outcome;
  }
  const avoided = new Set(live.refusedBy);
  for (;;) {
    const worker = await placeOnWorker(context, live, { job, avoided });
    if (worker === undefined) return stopOutcome(live);
    const permission = await requestPermission(context, live, worker);
    if (permission !== Permission.Send) {
      reportRunEnd(context, live, { worker, end: RunEnd.Cancelled });
      if (permission === Permission.NotOwner) return { kind: "moved" };
      await context.queue.waitForChange(CHANGE_TIMEOUT);
      continue;
    }
    const end = await dispatch(context, live, { worker, cause });
    cause = toRetryCause(end);
    reportRunEnd(context, live, { worker, end: toRunEnd(end), cause });
    const outcome = toOutcome(end, live);
    if (outcome !== undefined) return outcome;
    avoided.add(worker.id);
    if (!live.record.repeatable && live.isPossiblySent) {
      const isCancelled =
        cause === RetryCause.WorkerReclaimed && (await cancelForMove(context, live, worker));
      const inquired = isCancelled ? undefined : await inquireAtWorker(context, live, worker);
      if (inquired !== undefined) return inquired;
      counters.retried(cause);
      continue;
    }
    counters.retried(cause);
    if (cause === RetryCause.WorkerReclaimed) {
      // The request continues elsewhere: the server with the notice should spend no more time on it.
      void engine.cancel(worker, live.record.id).catch(() => undefined);
      continue;
    }
    const retry = scheduler.retry(job, cause, { now: clock.now(), random });
    if (retry.kind === "stop") return abandonedOutcome(live, Refusal.RetryBudget, describeEnd(end));
    if (retry.delay > 0) await sleep(clock, retry.delay);
  }
}

function reportRunEnd(
  { environment }: RunContext,
  live: LiveRequest,
  { worker, end, cause }: { worker: Worker; end: RunEnd; cause?: RetryCause },
): void {
  environment.scheduler.runEnded(live.record.id, end, {
    now: environment.clock.now(),
    answerTokens: live.tokens.length,
    worker: worker.id,
    ...(cause === undefined ? {} : { cause }),
  });
}

async function placeOnWorker(
  { environment, queue }: RunContext,
  live: LiveRequest,
  { job, avoided }: { job: Job; avoided: Set<string> },
): Promise<Worker | undefined> {
  const { clock, random, scheduler, workers } = environment;
  const startedAt = clock.now();
  while (live.stopReason === undefined) {
    const now = clock.now();
    if (now - startedAt > AVOID_DURATION) retainOnly(avoided, live.refusedBy);
    const placement = scheduler.place(job, { now, random, avoid: avoided });
    if (placement.kind === "placed") {
      const worker = workers.find(placement.worker);
      if (worker !== undefined) return worker;
      scheduler.runEnded(job.id, RunEnd.Cancelled, { now, answerTokens: 0 });
    }
    await unlessStopped(live, queue.waitForChange(CHANGE_TIMEOUT));
  }
  return undefined;
}

function retainOnly(set: Set<string>, retained: ReadonlySet<string>): void {
  for (const item of set) if (!retained.has(item)) set.delete(item);
}

/**
 * Requests permission to send to the worker. For a request that may not be repeated, the intent is
 * first recorded at the backup, so that an instance that takes the slot over treats the request as
 * one that may have run.
 */
async function requestPermission(
  context: RunContext,
  live: LiveRequest,
  worker: Worker,
): Promise<Permission> {
  const { replicator, table } = context;
  const { id, slot, repeatable } = live.record;
  // The slot's record may have ended meanwhile: if this instance missed another owner's changes,
  // the record ends as possibly run.
  if (isFinalRequestState(table.find(slot, id)?.state ?? live.record.state))
    return Permission.NotOwner;
  if (!repeatable && ownsSlot(table.get(slot))) {
    live.record = table.write({
      ...live.record,
      state: RequestState.DispatchIntent,
      worker: worker.id,
      attempt: live.record.attempt + 1,
    });
    await unlessStopped(live, replicator.waitForCopy(live.record, INTENT_TIMEOUT));
  }
  if (live.stopReason !== undefined) return Permission.NotOwner;
  return permissionToSend(table.get(slot), id);
}

import { RunEnd } from "../decision/index.ts";
import type { Job } from "../decision/index.ts";
import { hasEnded, Refusal, RequestState, RetryCause, sleep } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";
import { attachAgain, dispatch } from "./engine_attempt.ts";
import { Stop } from "./live_request.ts";
import type { LiveRequest } from "./live_request.ts";
import { conclude } from "./request_end.ts";
import { inquireAfter, inquireAt, takeAway } from "./request_inquiry.ts";
import { timeLeft, unlessStopped } from "./run_context.ts";
import type { RunContext } from "./run_context.ts";
import { causeOf, detailOf, givenUp, outcomeOf, runEndOf, stopOutcome } from "./run_outcome.ts";
import type { RunOutcome } from "./run_outcome.ts";
import { ownsSlot, Permission, permissionToSend } from "./slot_replica.ts";

/** Options of {@linkcode runRequest}. */
export interface RunOptions {
  readonly job: Job;
  /**
   * Whether a previous owner may have sent the request. It is then only inquired about, never sent
   * again.
   */
  readonly inquire: boolean;
}

/**
 * Milliseconds to wait for the backup's acknowledgement of an intent before the worker is chosen
 * again.
 */
const INTENT_PATIENCE = 2_000;
/** Milliseconds without a placement after which workers that failed the job may be tried again. */
const AVOID_TIME = 2_000;
/** Maximum wait for a change of the workers or the slot map, in milliseconds. */
const CHANGE_WAIT = 100;

/**
 * Runs an accepted request to its end. It waits for its turn, is sent to a worker and continues at
 * another one where that is allowed. When the promise resolves, the readers have received the end.
 */
export async function runRequest(
  context: RunContext,
  live: LiveRequest,
  { job, inquire }: RunOptions,
): Promise<void> {
  const { clock, scheduler } = context.environment;
  live.expectedTokens = job.estimate.answerTokens;
  const deadline = clock.after(timeLeft(context, live), () => live.stop(Stop.Deadline));
  try {
    const asked = inquire ? await inquireAfter(context, live) : undefined;
    const outcome = asked ?? (await waitAndRun(context, live, job));
    await conclude(context, live, outcome);
  } finally {
    deadline.close();
    scheduler.settled(job, clock.now());
    context.queue.adjust();
  }
}

async function waitAndRun(context: RunContext, live: LiveRequest, job: Job): Promise<RunOutcome> {
  const ending = new AbortController();
  const offStop = live.onStop(() => {
    if (live.stopped !== undefined) ending.abort(new Error("The request was stopped."));
  });
  if (live.stopped !== undefined) ending.abort(new Error("The request was stopped."));
  const options = { signal: ending.signal };
  try {
    const outcome = await context.queue.run(job, () => tryWorkers(context, live, job), options);
    return outcome ?? stopOutcome(live);
  } catch (error) {
    if (live.stopped === undefined) throw error;
    return stopOutcome(live);
  } finally {
    offStop();
  }
}

async function tryWorkers(context: RunContext, live: LiveRequest, job: Job): Promise<RunOutcome> {
  const { clock, counters, engine, random, scheduler, workers } = context.environment;
  let cause = live.resumeCause;
  const before = workers.find(live.record.worker);
  if (before !== undefined && live.record.repeatable && live.sent) {
    const end = await attachAgain(context, live, { worker: before, cause });
    const outcome = outcomeOf(end, live);
    if (outcome !== undefined) return outcome;
  }
  const avoid = new Set(live.barredAt);
  for (;;) {
    const worker = await placed(context, live, { job, avoid });
    if (worker === undefined) return stopOutcome(live);
    const permission = await permit(context, live, worker);
    if (permission !== Permission.Send) {
      endRun(context, live, { worker, end: RunEnd.Cancelled });
      if (permission === Permission.NotOwner) return { kind: "moved" };
      await context.queue.changed(CHANGE_WAIT);
      continue;
    }
    const end = await dispatch(context, live, { worker, cause });
    cause = causeOf(end);
    endRun(context, live, { worker, end: runEndOf(end), cause });
    const outcome = outcomeOf(end, live);
    if (outcome !== undefined) return outcome;
    avoid.add(worker.id);
    if (!live.record.repeatable && live.sent) {
      const takenAway =
        cause === RetryCause.WorkerReclaimed && (await takeAway(context, live, worker));
      const asked = takenAway ? undefined : await inquireAt(context, live, worker);
      if (asked !== undefined) return asked;
      counters.retried(cause);
      continue;
    }
    counters.retried(cause);
    if (cause === RetryCause.WorkerReclaimed) {
      // The request continues elsewhere: the server under notice should spend no more time on it.
      void engine.cancel(worker, live.record.id).catch(() => undefined);
      continue;
    }
    const retry = scheduler.retry(job, cause, { now: clock.now(), random });
    if (retry.kind === "stop") return givenUp(live, Refusal.RetryBudget, detailOf(end));
    if (retry.delay > 0) await sleep(clock, retry.delay);
  }
}

function endRun(
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

async function placed(
  { environment, queue }: RunContext,
  live: LiveRequest,
  { job, avoid }: { job: Job; avoid: Set<string> },
): Promise<Worker | undefined> {
  const { clock, random, scheduler, workers } = environment;
  const began = clock.now();
  while (live.stopped === undefined) {
    const now = clock.now();
    if (now - began > AVOID_TIME) keepOnly(avoid, live.barredAt);
    const placement = scheduler.place(job, { now, random, avoid });
    if (placement.kind === "placed") {
      const worker = workers.find(placement.worker);
      if (worker !== undefined) return worker;
      scheduler.runEnded(job.id, RunEnd.Cancelled, { now, answerTokens: 0 });
    }
    await unlessStopped(live, queue.changed(CHANGE_WAIT));
  }
  return undefined;
}

function keepOnly(set: Set<string>, kept: ReadonlySet<string>): void {
  for (const item of set) if (!kept.has(item)) set.delete(item);
}

/**
 * Requests permission to send to the worker. For a request that may not be repeated, the intent is
 * first recorded at the backup, so that an instance that takes the slot over knows that it may have
 * run.
 */
async function permit(context: RunContext, live: LiveRequest, worker: Worker): Promise<Permission> {
  const { replicator, table } = context;
  const { id, slot, repeatable } = live.record;
  // The slot may have ended the request meanwhile, because this instance missed another owner's
  // changes.
  if (hasEnded(table.find(slot, id)?.state ?? live.record.state)) return Permission.NotOwner;
  if (!repeatable && ownsSlot(table.get(slot))) {
    live.record = table.write({
      ...live.record,
      state: RequestState.DispatchIntent,
      worker: worker.id,
      attempt: live.record.attempt + 1,
    });
    await unlessStopped(live, replicator.copied(live.record, INTENT_PATIENCE));
  }
  if (live.stopped !== undefined) return Permission.NotOwner;
  return permissionToSend(table.get(slot), id);
}

import { EngineKnowledge, Refusal } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";
import { attachAgain } from "./engine_attempt.ts";
import { Stop } from "./live_request.ts";
import type { LiveRequest } from "./live_request.ts";
import { unlessStopped } from "./run_context.ts";
import type { RunContext } from "./run_context.ts";
import { givenUp, outcomeOf, stopOutcome } from "./run_outcome.ts";
import type { RunOutcome } from "./run_outcome.ts";

/**
 * Takes a request that may not be repeated from a server under notice, to go on with it elsewhere.
 *
 * An entry that was accepted must survive the reclaim, and must not run twice. So it is moved and not begun
 * again: the server first confirms that it has stopped, and the next one goes on from the exported KV cache or
 * the tokens that were had. Where nothing was had yet, or the server doesn't confirm, it stays where it is.
 *
 * @returns True where it may go on elsewhere.
 */
export async function takeAway(
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
  goOnElsewhere(live, worker);
  return true;
}

/** The server has stopped it: the rest may be made by another, from the tokens that were had. */
function goOnElsewhere(live: LiveRequest, worker: Worker): void {
  live.partlyRun = true;
  live.sent = false;
  live.barredAt.add(worker.id);
}

/** Asks the server that may have the request, and follows it there if it runs. */
export async function inquireAfter(
  context: RunContext,
  live: LiveRequest,
): Promise<RunOutcome | undefined> {
  const { workers } = context.environment;
  live.sent = true;
  const worker = workers.find(live.record.worker);
  if (worker !== undefined) return inquireAt(context, live, worker);
  return givenUp(live, Refusal.BackendLost, "The backend server that may have run it has gone.");
}

/**
 * Asks the server and has it refuse the request from now on, if it hasn't begun it: whoever was allowed to
 * send it there and sends it late is turned away.
 *
 * @returns The outcome, or undefined where it certainly hasn't run and may go to another server.
 */
export async function inquireAt(
  context: RunContext,
  live: LiveRequest,
  worker: Worker,
): Promise<RunOutcome | undefined> {
  const { engine } = context.environment;
  const { id } = live.record;
  const asked = engine.ask(worker, id, { bar: true }).catch(() => EngineKnowledge.Unknown);
  const knowledge = await unlessStopped(live, asked);
  if (live.stopped !== undefined) return stopOutcome(live);
  if (knowledge === EngineKnowledge.Barred) {
    live.sent = false;
    live.barredAt.add(worker.id);
    return undefined;
  }
  if (knowledge === EngineKnowledge.Cancelled && live.tokens.length > 0) {
    goOnElsewhere(live, worker);
    return undefined;
  }
  if (knowledge === EngineKnowledge.Running || knowledge === EngineKnowledge.Finished) {
    const end = await attachAgain(context, live, { worker, cause: undefined });
    const outcome = outcomeOf(end, live);
    if (outcome !== undefined) return outcome;
    if (end.kind === "stopped" && end.cause === Stop.Reclaimed) {
      const takenAway = await takeAway(context, live, worker);
      return takenAway ? undefined : inquireAt(context, live, worker);
    }
  }
  return givenUp(live, Refusal.BackendLost, "The backend server that may have run it was lost.");
}

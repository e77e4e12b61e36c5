import { Refusal } from "../interface/index.ts";
import type { Environment } from "./environment.ts";
import { createEndedEvent, createUnknownOutcomeEvent, StopReason } from "./live_request.ts";
import type { LiveRequest } from "./live_request.ts";
import type { RunContext } from "./run_context.ts";
import type { RunOutcome } from "./run_outcome.ts";
import { mayTellEnd, ownsSlot } from "./slot_replica.ts";

/**
 * Milliseconds to wait for the backup's acknowledgement of an end before the caller has to ask
 * again.
 */
const END_TIMEOUT = 3_000;
/** Milliseconds after which a caller should query the request again. */
const RETRY_AFTER = 1_000;

/** Writes the outcome as the end of the request and reports it to the readers. */
export async function finishRequest(
  context: RunContext,
  live: LiveRequest,
  outcome: RunOutcome,
): Promise<void> {
  const { environment, table } = context;
  if (live.stopReason === StopReason.Cancelled || live.stopReason === StopReason.Deadline) {
    void cancelAtWorker(environment, live);
  }
  if (outcome.kind === "moved" || !ownsSlot(table.get(live.record.slot))) {
    live.finish({ kind: "moved", epoch: table.get(live.record.slot).assignment.epoch });
    return;
  }
  const { state, reason, detail } = outcome;
  const record = { ...live.snapshot(), state, reason, detail, body: "" };
  live.record = table.write(record);
  if (reason !== Refusal.None) environment.counters.refused(reason);
  await reportEnd(context, live);
}

async function cancelAtWorker({ engine, workers }: Environment, live: LiveRequest): Promise<void> {
  const worker = workers.find(live.record.worker);
  if (worker === undefined || !live.isPossiblySent) return;
  await engine.cancel(worker, live.record.id).catch(() => undefined);
}

/** Reports the end in the record to the readers, after the backup has it if that is required. */
export async function reportEnd(
  { replicator, table }: RunContext,
  live: LiveRequest,
): Promise<void> {
  const { id, slot } = live.record;
  replicator.send(live.record);
  if (!mayTellEnd(table.get(slot), id)) await replicator.waitForCopy(live.record, END_TIMEOUT);
  const replica = table.get(slot);
  if (mayTellEnd(replica, id)) {
    live.finish(createEndedEvent({ ...live.record, tokens: [] }));
  } else if (!ownsSlot(replica)) {
    live.finish({ kind: "moved", epoch: replica.assignment.epoch });
  } else {
    live.finish(createUnknownOutcomeEvent(live.record, RETRY_AFTER));
  }
}

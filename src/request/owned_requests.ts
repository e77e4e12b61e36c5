import type { Job } from "../decision/index.ts";
import { isFinalRequestState, Refusal, RequestState, RetryCause } from "../interface/index.ts";
import type { RelayEvent, RelayMessage, RequestRecord } from "../interface/index.ts";
import { toArrival, createInheritedJob } from "./arrival.ts";
import {
  createEndedEvent,
  LiveRequest,
  createUnknownOutcomeEvent,
  StopReason,
} from "./live_request.ts";
import type { FinalEvent } from "./live_request.ts";
import { CopyState } from "./replicator.ts";
import { writeProgress } from "./engine_attempt.ts";
import { reportEnd } from "./request_end.ts";
import { runRequest } from "./request_run.ts";
import type { RunContext } from "./run_context.ts";
import type { Retention } from "./retention.ts";
import {
  TakeoverAction,
  takeoverActionFor,
  canAcceptUnknownKey,
  ownsSlot,
} from "./slot_replica.ts";
import type { SlotReplica } from "./slot_replica.ts";

/** The requests that this instance owns. */
export interface OwnedRequests {
  /**
   * Accepts a request or follows an existing one. Readers receive a `moved` event when another
   * instance becomes the owner.
   */
  serve(message: RelayMessage, signal: AbortSignal): AsyncIterable<RelayEvent>;
  /** Returns the current record of a request with its whole answer so far. */
  find(slot: number, id: string): RequestRecord | undefined;
  /** Cancels a request in progress; has no effect on other ids. */
  cancel(id: string): void;
  /**
   * Continues the requests of a slot after this instance has become its owner or has received
   * records for it.
   */
  inheritSlot(slot: number): void;
  /** Stops work on the requests of a slot that another instance owns now. */
  releaseSlot(slot: number): void;
  /** Writes all answers in progress to their slots, before the slots are copied or handed over. */
  writeAllProgress(): void;
  /** Returns the requests that this instance runs on a worker. */
  runningOn(worker: string): readonly LiveRequest[];
  /** Returns the number of requests in progress. */
  inProgress(): number;
  /** Called when a request of a slot has ended or moved. */
  onSettled: (slot: number) => void;
}

/**
 * Milliseconds to wait for the backup's acknowledgement before the outcome is reported to the
 * caller as not known yet.
 */
const ACCEPT_TIMEOUT = 2_000;
/** Milliseconds after which a caller should retry. */
const RETRY_AFTER = 1_000;
/** Milliseconds after which a caller of a paused service may check for a different preset. */
const PAUSED_RETRY_AFTER = 30_000;
/** Maximum number of records held, in progress or ended. */
const MAX_RECORDS = 200_000;

/** Creates the owner's side of request handling. */
export function createOwnedRequests(context: RunContext, retention: Retention): OwnedRequests {
  const { environment, replicator, table } = context;
  const { clock, counters, scheduler } = environment;
  const liveById = new Map<string, LiveRequest>();
  const liveBySlot = new Map<number, Set<LiveRequest>>();

  const add = (record: RequestRecord): LiveRequest => {
    const live = new LiveRequest(record);
    liveById.set(record.id, live);
    const slotRequests = liveBySlot.get(record.slot) ?? new Set();
    liveBySlot.set(record.slot, slotRequests.add(live));
    return live;
  };
  const remove = (live: LiveRequest): void => {
    const { id, slot } = live.record;
    if (liveById.get(id) === live) liveById.delete(id);
    const slotRequests = liveBySlot.get(slot);
    slotRequests?.delete(live);
    if (slotRequests?.size === 0) liveBySlot.delete(slot);
    const record = table.find(slot, id);
    if (record !== undefined && isFinalRequestState(record.state)) retention.add(record);
    ownedRequests.onSettled(slot);
  };
  const run = async (
    live: LiveRequest,
    options: { job: Job; isInquiry: boolean },
  ): Promise<void> => {
    try {
      await runRequest(context, live, options);
    } catch (error) {
      // An internal error must not leave the caller without a final event.
      counters.count("run.fault");
      environment.counters.refused(Refusal.BackendFailed);
      live.finish(
        createUnknownOutcomeEvent({ ...live.record, detail: String(error) }, RETRY_AFTER),
      );
    } finally {
      remove(live);
    }
  };

  const refusal = (
    record: RequestRecord,
    details: { reason: Refusal; detail: string; retryAfter?: number },
  ): FinalEvent => {
    counters.refused(details.reason);
    const { reason, detail, retryAfter } = details;
    const state = RequestState.NotRun;
    return createEndedEvent({ ...record, state, reason, detail, body: "", tokens: [] }, retryAfter);
  };

  /**
   * Returns the refusal of a record that this owner doesn't have yet, or undefined if it can accept
   * it.
   */
  const findRefusal = (replica: SlotReplica, record: RequestRecord): FinalEvent | undefined => {
    if (record.keyed && !canAcceptUnknownKey(replica, record.repeatable)) {
      const detail =
        "Both owners of the key's slot were lost with their history; the request may have run before.";
      return createEndedEvent({ ...record, reason: Refusal.HistoryLost, detail, body: "" });
    }
    if (record.keyed && replica.assignment.epoch === 0) {
      const detail = "No owner of the key's slot is known yet.";
      return refusal(record, { reason: Refusal.OwnerUnavailable, detail, retryAfter: RETRY_AFTER });
    }
    if (isPaused(environment, record.service)) {
      const detail = `The preset in force has paused the service ${record.service}.`;
      return refusal(record, { reason: Refusal.Draining, detail, retryAfter: PAUSED_RETRY_AFTER });
    }
    const canActAlone = table.canActAlone(replica, record.repeatable);
    if (!canActAlone && !table.hasReachableBackup(replica)) {
      const detail =
        "No second entry instance is available at present to hold a copy of the request.";
      return refusal(record, {
        reason: Refusal.BackupUnavailable,
        detail,
        retryAfter: RETRY_AFTER,
      });
    }
    if (retention.size() + liveById.size >= MAX_RECORDS) {
      const detail = "This entry instance holds the maximum number of requests.";
      return refusal(record, { reason: Refusal.EntryOverloaded, detail, retryAfter: RETRY_AFTER });
    }
    return undefined;
  };

  const accept = (record: RequestRecord): LiveRequest | FinalEvent => {
    const refused = findRefusal(table.get(record.slot), record);
    if (refused !== undefined) return refused;
    const admission = scheduler.admit(toArrival(environment, record), clock.now());
    if (admission.kind === "refused") {
      const detail = "The load is too high to answer the request before its deadline.";
      return refusal(record, { ...admission, detail });
    }
    const live = add(table.write({ ...record, state: RequestState.Accepted }));
    void replicateAndRun(live, admission.job);
    return live;
  };

  const replicateAndRun = async (live: LiveRequest, job: Job): Promise<void> => {
    const copyState = await replicator.waitForCopy(live.record, ACCEPT_TIMEOUT);
    if (liveById.get(live.record.id) !== live) {
      scheduler.jobEnded(job, clock.now());
      return;
    }
    if (copyState === CopyState.Acknowledged) {
      live.isAccepted = true;
      live.notifyReaders();
      return run(live, { job, isInquiry: false });
    }
    if (copyState === CopyState.NotSent || copyState === CopyState.NotOwner) {
      scheduler.jobEnded(job, clock.now());
      // If the slot has moved, its new owner has the record.
      if (copyState === CopyState.NotOwner) live.finish(createMovedEvent(live.record.slot));
      else {
        table.forget(live.record.slot, live.record.id);
        const detail = "The backup could not be reached, and nothing was sent to it.";
        const reason = Refusal.BackupUnavailable;
        live.finish(refusal(live.record, { reason, detail, retryAfter: RETRY_AFTER }));
      }
      remove(live);
      return;
    }
    counters.refused(Refusal.BackupUnavailable);
    live.finish(createUnknownOutcomeEvent(live.record, RETRY_AFTER));
    remove(live);
    // Callers that query the request by its id follow this new object.
    const next = add(live.record);
    const remaining = Math.max(0, next.record.deadlineAt - clock.date().getTime());
    await replicator.waitForCopy(next.record, remaining);
    next.isAccepted = true;
    next.notifyReaders();
    if (!ownsSlot(table.get(next.record.slot))) next.stop(StopReason.Moved);
    await run(next, { job, isInquiry: false });
  };

  const createMovedEvent = (slot: number): FinalEvent => ({
    kind: "moved",
    epoch: table.get(slot).assignment.epoch,
  });

  /**
   * Adds a reader to a request that has ended. The end is reported once the current backup has it
   * too.
   */
  const reopenEnded = (record: RequestRecord): LiveRequest => {
    const live = add(record);
    live.isAccepted = true;
    void reportEnd(context, live).finally(() => remove(live));
    return live;
  };

  const findOrAccept = (message: RelayMessage): LiveRequest | FinalEvent => {
    const { record, follow } = message;
    const { id, slot } = record;
    const live = liveById.get(id);
    const held = live?.record ?? table.find(slot, id);
    if (held === undefined) {
      if (!follow || (record.body !== "" && record.repeatable)) return accept(record);
      const { historyLostAt } = table.get(slot).assignment;
      const reason = historyLostAt > 0 ? Refusal.HistoryLost : Refusal.UnknownRequest;
      const detail = "The owner of the request id's slot has no such request.";
      return createEndedEvent({ ...record, reason, detail, body: "" });
    }
    if (held.account !== record.account) {
      const detail = "This client account has no request with this id.";
      return createEndedEvent({ ...record, reason: Refusal.UnknownRequest, detail, body: "" });
    }
    if (!follow && held.fingerprint !== record.fingerprint) {
      const detail = "The idempotency key was already used with a different request.";
      return refusal(record, { reason: Refusal.KeyConflict, detail });
    }
    if (live !== undefined) return live;
    if (!isFinalRequestState(held.state)) return continueRequest(held);
    // A request that has certainly not run may be retried with the same key.
    if (!follow && held.keyed && held.state === RequestState.NotRun)
      return acceptAgain(held, record);
    return reopenEnded(held);
  };

  const acceptAgain = (held: RequestRecord, record: RequestRecord): LiveRequest | FinalEvent =>
    accept({ ...record, attempt: held.attempt });

  const continueRequest = (record: RequestRecord): LiveRequest => {
    const live = add(record);
    live.isAccepted = true;
    // A repeatable request is sent without informing the backup, so the previous owner may have
    // sent it.
    const { state, repeatable } = record;
    const wasDispatched = state === RequestState.Dispatched || state === RequestState.Streaming;
    live.isPossiblySent = repeatable || wasDispatched;
    if (live.isPossiblySent) live.resumeCause = RetryCause.OwnerMoved;
    const isInquiry = takeoverActionFor(record) === TakeoverAction.Inquire;
    replicator.send(record);
    void run(live, { job: createInheritedJob(environment, record), isInquiry });
    return live;
  };

  const ownedRequests: OwnedRequests = {
    serve: (message, signal) => {
      const { slot } = message.record;
      if (!ownsSlot(table.get(slot))) return yieldSingle(createMovedEvent(slot));
      const found = findOrAccept(message);
      if (!(found instanceof LiveRequest)) return yieldSingle(found);
      adoptTokens(found, message);
      return found.read(message.fromToken, signal);
    },
    find: (slot, id) => {
      const live = liveById.get(id);
      if (live === undefined) return table.find(slot, id);
      const snapshot = live.snapshot();
      // An end that may not be reported yet is shown as a request in progress.
      const isUnreported = isFinalRequestState(snapshot.state) && live.finalEvent === undefined;
      return isUnreported
        ? { ...snapshot, state: RequestState.Streaming, reason: Refusal.None }
        : snapshot;
    },
    cancel: (id) => liveById.get(id)?.stop(StopReason.Cancelled),
    inheritSlot: (slot) => {
      for (const { record } of table.get(slot).records.values()) {
        const live = liveById.get(record.id);
        // A request started during an earlier ownership lacks the changes that the owners since
        // then have made. Continuing it would send again what they have sent.
        if (live !== undefined && live.record.sequence !== record.sequence) {
          live.stop(StopReason.Moved);
          live.finish(createMovedEvent(slot));
          remove(live);
        }
        if (liveById.has(record.id)) replicator.send(record);
        else if (!isFinalRequestState(record.state)) continueRequest(record);
        else {
          replicator.send(record);
          retention.add(record);
        }
      }
    },
    releaseSlot: (slot) => {
      for (const live of [...(liveBySlot.get(slot) ?? [])]) live.stop(StopReason.Moved);
    },
    writeAllProgress: () => {
      for (const live of liveById.values()) writeProgress(context, live);
    },
    runningOn: (worker) =>
      [...liveById.values()].filter((live) => live.isPossiblySent && live.record.worker === worker),
    inProgress: () => liveById.size,
    onSettled: () => undefined,
  };
  return ownedRequests;
}

function isPaused({ configuration }: RunContext["environment"], service: string): boolean {
  const revision = configuration.revision();
  return revision?.deployment.presets[revision.preset]?.paused.includes(service) === true;
}

async function* yieldSingle(event: FinalEvent): AsyncGenerator<RelayEvent> {
  await Promise.resolve();
  yield event;
}

/** Adds tokens that the caller received from a previous owner and that this owner doesn't have. */
function adoptTokens(live: LiveRequest, { record, fromToken }: RelayMessage): void {
  if (!live.record.repeatable || live.isDispatched || record.tokens.length !== fromToken) return;
  for (const token of record.tokens.slice(live.tokens.length)) live.addToken(token);
}

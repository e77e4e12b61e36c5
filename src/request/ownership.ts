import type { Job } from "../decision/index.ts";
import { hasEnded, Refusal, RequestState, RetryCause } from "../interface/index.ts";
import type { RelayEvent, RelayMessage, RequestRecord } from "../interface/index.ts";
import { arrivalOf, inheritedJob } from "./arrival.ts";
import { endedEvent, LiveRequest, notKnownYet, Stop } from "./live_request.ts";
import type { FinalEvent } from "./live_request.ts";
import { CopyState } from "./replicator.ts";
import { writeProgress } from "./engine_attempt.ts";
import { tellEnd } from "./request_end.ts";
import { runRequest } from "./request_run.ts";
import type { RunContext } from "./run_context.ts";
import type { Retention } from "./retention.ts";
import { Inheritance, inheritanceOf, mayAcceptUnknownKey, ownsSlot } from "./slot_replica.ts";
import type { SlotReplica } from "./slot_replica.ts";

/** The requests that this instance owns. */
export interface Ownership {
  /**
   * Accepts a request or follows an existing one. Readers receive a `moved` event when another
   * instance becomes the owner.
   */
  serve(message: RelayMessage, signal: AbortSignal): AsyncIterable<RelayEvent>;
  /** Returns the current record of a request with its whole answer so far. */
  find(slot: number, id: string): RequestRecord | undefined;
  cancel(id: string): void;
  /**
   * Continues the requests of a slot after this instance has become its owner or has received
   * records for it.
   */
  inherit(slot: number): void;
  /** Stops work on the requests of a slot that another instance owns now. */
  leave(slot: number): void;
  /** Writes all answers in progress to their slots, before the slots are copied or handed over. */
  writeAll(): void;
  /** Returns the requests that this instance runs on a worker. */
  running(worker: string): readonly LiveRequest[];
  inProgress(): number;
  /** Called when a request of a slot has ended or moved. */
  onSettled: (slot: number) => void;
}

/**
 * Milliseconds to wait for the backup's acknowledgement before the caller is told that the outcome
 * is not known yet.
 */
const ACCEPT_PATIENCE = 2_000;
/** Milliseconds after which a caller should retry. */
const TRY_AGAIN = 1_000;
/** Milliseconds after which a caller of a paused service may check for a different preset. */
const PAUSED_TIME = 30_000;
/** Maximum number of records held, in progress or ended. */
const MOST_RECORDS = 200_000;

/** Creates the owner's side of request handling. */
export function createOwnership(context: RunContext, retention: Retention): Ownership {
  const { environment, replicator, table } = context;
  const { clock, counters, scheduler } = environment;
  const lives = new Map<string, LiveRequest>();
  const bySlot = new Map<number, Set<LiveRequest>>();

  const add = (record: RequestRecord): LiveRequest => {
    const live = new LiveRequest(record);
    lives.set(record.id, live);
    const peers = bySlot.get(record.slot) ?? new Set();
    bySlot.set(record.slot, peers.add(live));
    return live;
  };
  const remove = (live: LiveRequest): void => {
    const { id, slot } = live.record;
    if (lives.get(id) === live) lives.delete(id);
    const peers = bySlot.get(slot);
    peers?.delete(live);
    if (peers?.size === 0) bySlot.delete(slot);
    const record = table.find(slot, id);
    if (record !== undefined && hasEnded(record.state)) retention.note(record);
    ownership.onSettled(slot);
  };
  const run = async (live: LiveRequest, options: { job: Job; inquire: boolean }): Promise<void> => {
    try {
      await runRequest(context, live, options);
    } catch (error) {
      // An internal error must not leave the caller without a final event.
      counters.count("run.fault");
      environment.counters.refused(Refusal.BackendFailed);
      live.finish(notKnownYet({ ...live.record, detail: String(error) }, TRY_AGAIN));
    } finally {
      remove(live);
    }
  };

  const refusal = (
    record: RequestRecord,
    why: { reason: Refusal; detail: string; retryAfter?: number },
  ): FinalEvent => {
    counters.refused(why.reason);
    const { reason, detail, retryAfter } = why;
    const state = RequestState.NotRun;
    return endedEvent({ ...record, state, reason, detail, body: "", tokens: [] }, retryAfter);
  };

  /**
   * Returns the refusal for a record that this owner doesn't know and can't accept, or undefined.
   */
  const objection = (replica: SlotReplica, record: RequestRecord): FinalEvent | undefined => {
    if (record.keyed && !mayAcceptUnknownKey(replica, record.repeatable)) {
      const detail =
        "Both owners of the key's slot were lost with their history; the request may have run before.";
      return endedEvent({ ...record, reason: Refusal.HistoryLost, detail, body: "" });
    }
    if (record.keyed && replica.assignment.epoch === 0) {
      const detail = "No owner of the key's slot is known yet.";
      return refusal(record, { reason: Refusal.OwnerUnavailable, detail, retryAfter: TRY_AGAIN });
    }
    if (isPaused(environment, record.service)) {
      const detail = `The preset in force has paused the service ${record.service}.`;
      return refusal(record, { reason: Refusal.Draining, detail, retryAfter: PAUSED_TIME });
    }
    const alone = table.actsAlone(replica, record.repeatable);
    if (!alone && !table.hasLiveBackup(replica)) {
      const detail =
        "No second entry instance is available at present to hold a copy of the request.";
      return refusal(record, { reason: Refusal.BackupUnavailable, detail, retryAfter: TRY_AGAIN });
    }
    if (retention.size() + lives.size >= MOST_RECORDS) {
      const detail = "This entry instance holds the maximum number of requests.";
      return refusal(record, { reason: Refusal.EntryOverloaded, detail, retryAfter: TRY_AGAIN });
    }
    return undefined;
  };

  const accept = (record: RequestRecord): LiveRequest | FinalEvent => {
    const against = objection(table.get(record.slot), record);
    if (against !== undefined) return against;
    const admission = scheduler.admit(arrivalOf(environment, record), clock.now());
    if (admission.kind === "refused") {
      const detail = "The load is too high to answer the request before its deadline.";
      return refusal(record, { ...admission, detail });
    }
    const live = add(table.write({ ...record, state: RequestState.Accepted }));
    void begin(live, admission.job);
    return live;
  };

  const begin = async (live: LiveRequest, job: Job): Promise<void> => {
    const copy = await replicator.copied(live.record, ACCEPT_PATIENCE);
    if (lives.get(live.record.id) !== live) {
      scheduler.settled(job, clock.now());
      return;
    }
    if (copy === CopyState.Acknowledged) {
      live.accepted = true;
      live.wake();
      return run(live, { job, inquire: false });
    }
    if (copy === CopyState.NotSent || copy === CopyState.NotOwner) {
      scheduler.settled(job, clock.now());
      // If the slot has moved, its new owner has the record.
      if (copy === CopyState.NotOwner) live.finish(movedEvent(live.record.slot));
      else {
        table.forget(live.record.slot, live.record.id);
        const detail = "The backup could not be reached, and nothing was sent to it.";
        const reason = Refusal.BackupUnavailable;
        live.finish(refusal(live.record, { reason, detail, retryAfter: TRY_AGAIN }));
      }
      remove(live);
      return;
    }
    counters.refused(Refusal.BackupUnavailable);
    live.finish(notKnownYet(live.record, TRY_AGAIN));
    remove(live);
    // Callers that ask with the id follow this new object.
    const next = add(live.record);
    const left = Math.max(0, next.record.deadlineAt - clock.date().getTime());
    await replicator.copied(next.record, left);
    next.accepted = true;
    next.wake();
    if (!ownsSlot(table.get(next.record.slot))) next.stop(Stop.Moved);
    await run(next, { job, inquire: false });
  };

  const movedEvent = (slot: number): FinalEvent => ({
    kind: "moved",
    epoch: table.get(slot).assignment.epoch,
  });

  /**
   * Adds a reader to a request that has ended. The end is reported once the current backup has it
   * too.
   */
  const reopen = (record: RequestRecord): LiveRequest => {
    const live = add(record);
    live.accepted = true;
    void tellEnd(context, live).finally(() => remove(live));
    return live;
  };

  const followed = (message: RelayMessage): LiveRequest | FinalEvent => {
    const { record, follow } = message;
    const { id, slot } = record;
    const live = lives.get(id);
    const held = live?.record ?? table.find(slot, id);
    if (held === undefined) {
      if (!follow || (record.body !== "" && record.repeatable)) return accept(record);
      const { historyLostAt } = table.get(slot).assignment;
      const reason = historyLostAt > 0 ? Refusal.HistoryLost : Refusal.UnknownRequest;
      const detail = "The owner of the request id's slot has no such request.";
      return endedEvent({ ...record, reason, detail, body: "" });
    }
    if (held.account !== record.account) {
      const detail = "This client account has no request with this id.";
      return endedEvent({ ...record, reason: Refusal.UnknownRequest, detail, body: "" });
    }
    if (!follow && held.fingerprint !== record.fingerprint) {
      const detail = "The idempotency key was already used with a different request.";
      return refusal(record, { reason: Refusal.KeyConflict, detail });
    }
    if (live !== undefined) return live;
    if (!hasEnded(held.state)) return inheritOne(held);
    // A request that has certainly not run may be retried with the same key.
    if (!follow && held.keyed && held.state === RequestState.NotRun)
      return acceptAgain(held, record);
    return reopen(held);
  };

  const acceptAgain = (held: RequestRecord, record: RequestRecord): LiveRequest | FinalEvent =>
    accept({ ...record, attempt: held.attempt });

  const inheritOne = (record: RequestRecord): LiveRequest => {
    const live = add(record);
    live.accepted = true;
    // A repeatable request is sent without informing the backup, so the previous owner may have
    // sent it.
    const { state, repeatable } = record;
    const told = state === RequestState.Dispatched || state === RequestState.Streaming;
    live.sent = repeatable || told;
    if (live.sent) live.resumeCause = RetryCause.OwnerMoved;
    const inquire = inheritanceOf(record) === Inheritance.Inquire;
    replicator.send(record);
    void run(live, { job: inheritedJob(environment, record), inquire });
    return live;
  };

  const ownership: Ownership = {
    serve: (message, signal) => {
      const { slot } = message.record;
      if (!ownsSlot(table.get(slot))) return only(movedEvent(slot));
      const found = followed(message);
      if (!(found instanceof LiveRequest)) return only(found);
      takeTokens(found, message);
      return found.read(message.fromToken, signal);
    },
    find: (slot, id) => {
      const live = lives.get(id);
      if (live === undefined) return table.find(slot, id);
      const snapshot = live.snapshot();
      // An end that may not be reported yet is shown as a request in progress.
      const open = hasEnded(snapshot.state) && live.final === undefined;
      return open ? { ...snapshot, state: RequestState.Streaming, reason: Refusal.None } : snapshot;
    },
    cancel: (id) => lives.get(id)?.stop(Stop.Cancelled),
    inherit: (slot) => {
      for (const { record } of table.get(slot).held.values()) {
        const live = lives.get(record.id);
        // A request started during an earlier ownership has no knowledge of what the owners since
        // then did. Continuing it would send again what they have sent.
        if (live !== undefined && live.record.sequence !== record.sequence) {
          live.stop(Stop.Moved);
          live.finish(movedEvent(slot));
          remove(live);
        }
        if (lives.has(record.id)) replicator.send(record);
        else if (!hasEnded(record.state)) inheritOne(record);
        else {
          replicator.send(record);
          retention.note(record);
        }
      }
    },
    leave: (slot) => {
      for (const live of [...(bySlot.get(slot) ?? [])]) live.stop(Stop.Moved);
    },
    writeAll: () => {
      for (const live of lives.values()) writeProgress(context, live);
    },
    running: (worker) =>
      [...lives.values()].filter((live) => live.sent && live.record.worker === worker),
    inProgress: () => lives.size,
    onSettled: () => undefined,
  };
  return ownership;
}

function isPaused({ configuration }: RunContext["environment"], service: string): boolean {
  const revision = configuration.revision();
  return revision?.deployment.presets[revision.preset]?.paused.includes(service) === true;
}

async function* only(event: FinalEvent): AsyncGenerator<RelayEvent> {
  await Promise.resolve();
  yield event;
}

/** Adds tokens that the caller received from a previous owner and that this owner doesn't have. */
function takeTokens(live: LiveRequest, { record, fromToken }: RelayMessage): void {
  if (!live.record.repeatable || live.dispatched || record.tokens.length !== fromToken) return;
  for (const token of record.tokens.slice(live.tokens.length)) live.add(token);
}

import { EntryMode, Lane } from "../decision/index.ts";
import { isFinalRequestState, Refusal, RequestState, SlotOutcome } from "../interface/index.ts";
import type {
  AskMessage,
  AskReply,
  HandoverMessage,
  RequestRecord,
  SlotReply,
} from "../interface/index.ts";
import { forwardToOwner, selectOwner } from "./request_forwarding.ts";
import type { ForwardingContext } from "./request_forwarding.ts";
import type { Environment } from "./environment.ts";
import { createHandover } from "./handover.ts";
import { createOwnedRequests } from "./owned_requests.ts";
import { createReplicator } from "./replicator.ts";
import type { CallerEvent, Rejection, RequestService, Submission } from "./request_api.ts";
import { slotOfRequestId } from "./request_id.ts";
import { generateRequestId, fingerprintSubmission, requestIdForKey } from "./request_key.ts";
import { createRequestQueue } from "./request_queue.ts";
import { createRetention } from "./retention.ts";
import {
  hasRecordsToForward,
  ownsSlot,
  receiveHandover,
  receiveRecord,
  Stance,
} from "./slot_replica.ts";
import { watchReclaims } from "./worker_reclaim.ts";
import { createSlotTable } from "./slot_table.ts";
import type { SlotChange } from "./slot_table.ts";

/** Time limit of a request in milliseconds if neither the caller nor the service sets one. */
const DEFAULT_DEADLINE = 60_000;
/** Milliseconds after which a refused caller should retry. */
const RETRY_AFTER = 1_000;
/**
 * Milliseconds for which the former backup of a slot keeps its copies, because the new backup may
 * not have them yet.
 */
const FORMER_BACKUP_DELAY = 5_000;
/**
 * Milliseconds for which copies received in advance are kept if the slot map does not name this
 * instance.
 */
const EARLY_COPY_DELAY = 30_000;
/** Maximum number of attempts to query or cancel a request at its owner. */
const MAX_ASK_ATTEMPTS = 6;

/**
 * Creates the request service of one entry instance. It handles the requests that the instance
 * owns, and forwards the others to their owners.
 */
export function createRequestService(environment: Environment): RequestService {
  const { clock, configuration, members, scheduler, workers } = environment;
  const table = createSlotTable(environment);
  const replicator = createReplicator(environment, table);
  const queue = createRequestQueue(scheduler, clock);
  const retention = createRetention(clock, table);
  const ownedRequests = createOwnedRequests({ environment, table, replicator, queue }, retention);
  const forwarding: ForwardingContext = {
    environment,
    table,
    ownedRequests,
    onStart: () => forwardedCount++,
    onEnd: () => {
      forwardedCount--;
      notifyIfIdle();
    },
  };
  const handover = createHandover(environment, { table, ownedRequests });
  const idleListeners = new Set<() => void>();
  let isAccepting = true;
  let entryMode = EntryMode.Open;
  let forwardedCount = 0;

  const onSlotChange = ({ before, after }: SlotChange): void => {
    handover.confirmHistory(after.slot);
    if (ownsSlot(after)) ownedRequests.inheritSlot(after.slot);
    else if (ownsSlot(before)) ownedRequests.releaseSlot(after.slot);
    if (hasRecordsToForward(after)) {
      // The primary sends its backup every record that the primary has. The backup then has to
      // forward only the records that the primary lacks.
      const wasBackup = before.stance === Stance.Backup || after.stance === Stance.Backup;
      handover.forward(after.slot, wasBackup ? FORMER_BACKUP_DELAY : 0);
    }
  };
  const subscriptions = [
    table.onChange(onSlotChange),
    configuration.onChange(() => replicator.retryNow()),
    members.onChange(() => replicator.retryNow()),
    workers.onChange(() => queue.updateConcurrency()),
    watchReclaims(environment, (worker) => ownedRequests.runningOn(worker)),
  ];
  const notifyIfIdle = (): void => {
    if (ownedRequests.inProgress() > 0 || forwardedCount > 0) return;
    for (const resolve of idleListeners) resolve();
    idleListeners.clear();
  };
  ownedRequests.onSettled = notifyIfIdle;

  const submit: RequestService["submit"] = (submission, signal) => {
    const pickSlot = (random: Environment["random"]): number | undefined => table.pickSlot(random);
    const refusal = isAccepting
      ? refuseWhenOverloaded(environment, { entryMode, submission })
      : DRAINING_REJECTION;
    const record = refusal ?? createRecord(environment, { submission, pickSlot });
    if (!("notRun" in record)) {
      return forwardToOwner(
        forwarding,
        { record, fromToken: submission.fromToken, follow: false },
        signal,
      );
    }
    environment.counters.refused(record.reason);
    return yieldRejection(withUnknownKeyHistory(record, submission));
  };
  const follow: RequestService["follow"] = (id, { account, fromToken, signal }) => {
    const slot = slotOfRequestId(id);
    if (slot === undefined) return yieldRejection(createUnknownRequestRejection(id));
    const record = createNameOnlyRecord({ id, slot, account });
    return forwardToOwner(forwarding, { record, fromToken, follow: true }, signal);
  };

  const answerAsk = (message: AskMessage): AskReply => {
    const replica = table.get(message.slot);
    const { epoch } = replica.assignment;
    if (!ownsSlot(replica)) return { outcome: SlotOutcome.NotNamed, epoch };
    const found = ownedRequests.find(message.slot, message.id);
    if (found?.account !== message.account) return { outcome: SlotOutcome.Acknowledged, epoch };
    if (message.cancel) ownedRequests.cancel(message.id);
    return { outcome: SlotOutcome.Acknowledged, epoch, record: found };
  };
  const askOwner = async (
    id: string,
    { account, cancel }: { account: string; cancel: boolean },
  ): Promise<RequestRecord | Rejection> => {
    const slot = slotOfRequestId(id);
    if (slot === undefined) return createUnknownRequestRejection(id);
    for (let tries = 0; tries < MAX_ASK_ATTEMPTS; tries++) {
      const owner = selectOwner(forwarding, slot, tries);
      const { epoch } = table.get(slot).assignment;
      const message = { from: members.self.id, id, account, slot, epoch, hops: 1, cancel };
      const pendingReply =
        owner?.id === members.self.id
          ? Promise.resolve(answerAsk(message))
          : ((owner && environment.peers.ask(owner, message)) ?? Promise.resolve(undefined));
      const reply = await pendingReply.catch(() => undefined);
      if (reply?.outcome === SlotOutcome.Acknowledged)
        return reply.record ?? createUnknownRequestRejection(id);
      await configuration.refresh().catch(() => undefined);
      await queue.waitForChange(RETRY_AFTER / MAX_ASK_ATTEMPTS);
    }
    const detail =
      "The owner of the request can't be reached at present; query the request by its id.";
    const reason = Refusal.OwnerUnavailable;
    return { reason, notRun: false, retryAfter: RETRY_AFTER, detail, id };
  };

  const refreshIfBehind = (reply: SlotReply, { epoch }: { epoch: number }): SlotReply => {
    if (epoch > reply.epoch) void configuration.refresh().catch(() => undefined);
    return reply;
  };
  const receiveCede = (message: HandoverMessage): SlotReply => {
    const before = table.get(message.slot);
    const reply = table.applyTransition(receiveHandover(before, message));
    for (const record of message.records)
      if (isFinalRequestState(record.state)) retention.add(record);
    const after = table.get(message.slot);
    // Changes of the role are handled by the listener. This continues records that an owner
    // received.
    if (ownsSlot(before) && before !== after) ownedRequests.inheritSlot(message.slot);
    if (after.stance === Stance.None) {
      environment.counters.count("custody.taken");
      const isEarlyCopy = message.from === after.assignment.primary;
      handover.forward(message.slot, isEarlyCopy ? EARLY_COPY_DELAY : 0);
    }
    return refreshIfBehind(reply, message);
  };

  return {
    submit,
    follow,
    find: (id, account) => askOwner(id, { account, cancel: false }),
    cancel: (id, account) => askOwner(id, { account, cancel: true }),
    handlers: {
      replicate: (message) => {
        const reply = table.applyTransition(receiveRecord(table.get(message.slot), message));
        if (isFinalRequestState(message.record.state)) retention.add(message.record);
        return refreshIfBehind(reply, message);
      },
      cede: receiveCede,
      relay: (message, signal) => ownedRequests.serve(message, signal),
      ask: (message) => Promise.resolve(answerAsk(message)),
    },
    copyTo: (slots, member) => handover.copyTo(slots, member),
    isBackupReady: (slot, epoch) => handover.isBackupReady(slot, epoch),
    setEntryMode: (next) => {
      entryMode = next;
    },
    stopAccepting: () => {
      isAccepting = false;
    },
    whenIdle: () =>
      new Promise((resolve) => {
        idleListeners.add(resolve);
        notifyIfIdle();
      }),
    handOverAll: () => handover.handOver(table.all().map(({ slot }) => slot)),
    inProgress: () => ownedRequests.inProgress(),
    close: () => {
      for (const subscription of subscriptions) subscription.close();
      table.close();
      replicator.close();
      retention.close();
      handover.close();
    },
  };
}

/**
 * Adjusts a refusal by an instance that has not asked the owner. Another instance may have received
 * the same idempotency key and run the request. If this instance reported the key as not run, the
 * caller would send the request again elsewhere, and it would run twice.
 */
function withUnknownKeyHistory(rejection: Rejection, { account, key }: Submission): Rejection {
  if (key === undefined) return rejection;
  return { ...rejection, notRun: false, id: requestIdForKey(account, key).id };
}

const DRAINING_REJECTION: Rejection = {
  reason: Refusal.Draining,
  notRun: true,
  retryAfter: RETRY_AFTER,
  detail: "This entry instance is shutting down; resolve the address again.",
};

/** Refuses new requests while the instance is overloaded: first all but lookups, then all. */
function refuseWhenOverloaded(
  { configuration }: Environment,
  { entryMode, submission }: { entryMode: EntryMode; submission: Submission },
): Rejection | undefined {
  if (entryMode === EntryMode.Open) return undefined;
  const service = configuration.revision()?.deployment.services[submission.service];
  if (entryMode === EntryMode.LookupsOnly && service?.lane === Lane.Lookup) return undefined;
  const detail = "This entry instance is overloaded; resolve the address again.";
  return { reason: Refusal.EntryOverloaded, notRun: true, retryAfter: RETRY_AFTER, detail };
}

/** Yields the refusal of a request that has no owner yet. */
async function* yieldRejection(rejection: Rejection): AsyncGenerator<CallerEvent> {
  await Promise.resolve();
  yield { kind: "rejected", rejection };
}

function createUnknownRequestRejection(id: string): Rejection {
  const detail = "This client account has no request with this id.";
  return { reason: Refusal.UnknownRequest, notRun: false, detail, id };
}

/** Creates a record that only identifies a request, in order to follow it. */
function createNameOnlyRecord({
  id,
  slot,
  account,
}: Pick<RequestRecord, "id" | "slot" | "account">): RequestRecord {
  return {
    id,
    slot,
    account,
    service: "",
    state: RequestState.Accepted,
    repeatable: false,
    detached: false,
    keyed: false,
    fingerprint: "",
    path: "",
    body: "",
    attempt: 0,
    worker: "",
    tokens: [],
    tokensFrom: 0,
    reason: Refusal.None,
    detail: "",
    acceptedAt: 0,
    deadlineAt: 0,
    sequence: 0,
  };
}

interface RecordOptions {
  readonly submission: Submission;
  readonly pickSlot: (random: Environment["random"]) => number | undefined;
}

/** Creates the record of a submission, or the refusal if it can't have one. */
function createRecord(
  { clock, configuration, random }: Environment,
  { submission, pickSlot }: RecordOptions,
): RequestRecord | Rejection {
  if (configuration.isCutOff()) {
    const detail =
      "This entry instance can't determine the configuration in force: it can reach neither the store nor a peer.";
    return { reason: Refusal.CutOff, notRun: true, retryAfter: RETRY_AFTER, detail };
  }
  const revision = configuration.revision();
  const service = revision?.deployment.services[submission.service];
  if (revision !== undefined && service === undefined) {
    const detail = `The deployment has no service "${submission.service}".`;
    return { reason: Refusal.UnknownService, notRun: true, detail };
  }
  const identity = createRequestId({ submission, pickSlot, random });
  if (identity === undefined) {
    const detail = "This entry instance owns no slot with a live backup at present.";
    return { reason: Refusal.OwnerUnavailable, notRun: true, retryAfter: RETRY_AFTER, detail };
  }
  const now = clock.date().getTime();
  const deadline = submission.deadline ?? service?.target.deadline ?? DEFAULT_DEADLINE;
  const { account, path, body, detached } = submission;
  const keyed = submission.key !== undefined;
  return {
    ...createNameOnlyRecord({ ...identity, account }),
    service: submission.service,
    repeatable: submission.repeatable ?? service?.repeatable ?? true,
    detached,
    keyed,
    fingerprint: keyed ? fingerprintSubmission(submission) : "",
    path,
    body,
    acceptedAt: now,
    deadlineAt: now + deadline,
  };
}

function createRequestId({
  submission,
  pickSlot,
  random,
}: RecordOptions & { random: Environment["random"] }): { id: string; slot: number } | undefined {
  const { account, key } = submission;
  if (key !== undefined) return requestIdForKey(account, key);
  const slot = pickSlot(random);
  return slot === undefined ? undefined : { id: generateRequestId(slot, random), slot };
}

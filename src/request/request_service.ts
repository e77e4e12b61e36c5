import { EntryStance, Lane } from "../decision/index.ts";
import { hasEnded, Refusal, RequestState, SlotOutcome } from "../interface/index.ts";
import type {
  AskMessage,
  AskReply,
  CedeMessage,
  RequestRecord,
  SlotReply,
} from "../interface/index.ts";
import { carry, ownerAt } from "./caller_stream.ts";
import type { Front } from "./caller_stream.ts";
import type { Environment } from "./environment.ts";
import { createHandover } from "./handover.ts";
import { createOwnership } from "./ownership.ts";
import { createReplicator } from "./replicator.ts";
import type { CallerEvent, Rejection, RequestService, Submission } from "./request_api.ts";
import { slotOfRequestId } from "./request_id.ts";
import { drawnId, fingerprintOf, keyedId } from "./request_key.ts";
import { createRequestQueue } from "./request_queue.ts";
import { createRetention } from "./retention.ts";
import { isKeeper, ownsSlot, receiveCession, receiveRecord, Stance } from "./slot_replica.ts";
import { followReclaims } from "./worker_reclaim.ts";
import { createSlotTable } from "./slot_table.ts";
import type { SlotChange } from "./slot_table.ts";

/** Time limit of a request in milliseconds if neither the caller nor the service sets one. */
const DEFAULT_DEADLINE = 60_000;
/** Milliseconds after which a refused caller should retry. */
const TRY_AGAIN = 1_000;
/**
 * Milliseconds for which the former backup of a slot keeps its copies, because the new backup may
 * not have them yet.
 */
const EX_BACKUP_TIME = 5_000;
/**
 * Milliseconds for which copies received in advance are kept if the slot map does not name this
 * instance.
 */
const COPY_TIME = 30_000;
/** Maximum number of attempts to ask a request's owner a short question. */
const ASK_TRIES = 6;

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
  const ownership = createOwnership({ environment, table, replicator, queue }, retention);
  const front: Front = {
    environment,
    table,
    ownership,
    began: () => carried++,
    ended: () => {
      carried--;
      tellIdle();
    },
  };
  const handover = createHandover(environment, { table, ownership });
  const idle = new Set<() => void>();
  let taking = true;
  let stance = EntryStance.Open;
  let carried = 0;

  const onSlotChange = ({ before, after }: SlotChange): void => {
    handover.complete(after.slot);
    if (ownsSlot(after)) ownership.inherit(after.slot);
    else if (ownsSlot(before)) ownership.leave(after.slot);
    if (isKeeper(after)) {
      // The primary sends its backup every record that the primary has. The backup then has to
      // forward only the records that the primary lacks.
      const wasBackup = before.stance === Stance.Backup || after.stance === Stance.Backup;
      handover.forward(after.slot, wasBackup ? EX_BACKUP_TIME : 0);
    }
  };
  const subscriptions = [
    table.onChange(onSlotChange),
    configuration.onChange(() => replicator.wake()),
    members.onChange(() => replicator.wake()),
    workers.onChange(() => queue.adjust()),
    followReclaims(environment, (worker) => ownership.running(worker)),
  ];
  const tellIdle = (): void => {
    if (ownership.inProgress() > 0 || carried > 0) return;
    for (const resolve of idle) resolve();
    idle.clear();
  };
  ownership.onSettled = tellIdle;

  const submit: RequestService["submit"] = (submission, signal) => {
    const draw = (random: Environment["random"]): number | undefined => table.draw(random);
    const refusal = taking ? overloadRefusal(environment, { stance, submission }) : DRAINING;
    const record = refusal ?? recordOf(environment, { submission, draw });
    if (!("notRun" in record)) {
      return carry(front, { record, fromToken: submission.fromToken, follow: false }, signal);
    }
    environment.counters.refused(record.reason);
    return rejected(hereOnly(record, submission));
  };
  const follow: RequestService["follow"] = (id, { account, fromToken, signal }) => {
    const slot = slotOfRequestId(id);
    if (slot === undefined) return rejected(unknownRequest(id));
    const record = namedOnly({ id, slot, account });
    return carry(front, { record, fromToken, follow: true }, signal);
  };

  const answerAsk = (message: AskMessage): AskReply => {
    const replica = table.get(message.slot);
    const { epoch } = replica.assignment;
    if (!ownsSlot(replica)) return { outcome: SlotOutcome.NotNamed, epoch };
    const found = ownership.find(message.slot, message.id);
    if (found?.account !== message.account) return { outcome: SlotOutcome.Acknowledged, epoch };
    if (message.cancel) ownership.cancel(message.id);
    return { outcome: SlotOutcome.Acknowledged, epoch, record: found };
  };
  const ask = async (
    id: string,
    { account, cancel }: { account: string; cancel: boolean },
  ): Promise<RequestRecord | Rejection> => {
    const slot = slotOfRequestId(id);
    if (slot === undefined) return unknownRequest(id);
    for (let tries = 0; tries < ASK_TRIES; tries++) {
      const owner = ownerAt(front, slot, tries);
      const { epoch } = table.get(slot).assignment;
      const message = { from: members.self.id, id, account, slot, epoch, hops: 1, cancel };
      const asked =
        owner?.id === members.self.id
          ? Promise.resolve(answerAsk(message))
          : ((owner && environment.peers.ask(owner, message)) ?? Promise.resolve(undefined));
      const reply = await asked.catch(() => undefined);
      if (reply?.outcome === SlotOutcome.Acknowledged) return reply.record ?? unknownRequest(id);
      await configuration.refresh().catch(() => undefined);
      await queue.changed(TRY_AGAIN / ASK_TRIES);
    }
    const detail =
      "The owner of the request can't be reached at present; query the request by its id.";
    const reason = Refusal.OwnerUnavailable;
    return { reason, notRun: false, retryAfter: TRY_AGAIN, detail, id };
  };

  const heard = (reply: SlotReply, { epoch }: { epoch: number }): SlotReply => {
    if (epoch > reply.epoch) void configuration.refresh().catch(() => undefined);
    return reply;
  };
  const receiveCede = (message: CedeMessage): SlotReply => {
    const before = table.get(message.slot);
    const reply = table.answer(receiveCession(before, message));
    for (const record of message.records) if (hasEnded(record.state)) retention.note(record);
    const after = table.get(message.slot);
    // Changes of the role are handled by the listener. This continues records that an owner
    // received.
    if (ownsSlot(before) && before !== after) ownership.inherit(message.slot);
    if (after.stance === Stance.None) {
      environment.counters.count("custody.taken");
      const copied = message.from === after.assignment.primary;
      handover.forward(message.slot, copied ? COPY_TIME : 0);
    }
    return heard(reply, message);
  };

  return {
    submit,
    follow,
    find: (id, account) => ask(id, { account, cancel: false }),
    cancel: (id, account) => ask(id, { account, cancel: true }),
    handlers: {
      replicate: (message) => {
        const reply = table.answer(receiveRecord(table.get(message.slot), message));
        if (hasEnded(message.record.state)) retention.note(message.record);
        return heard(reply, message);
      },
      cede: receiveCede,
      relay: (message, signal) => ownership.serve(message, signal),
      ask: (message) => Promise.resolve(answerAsk(message)),
    },
    copyTo: (slots, member) => handover.copyTo(slots, member),
    setStance: (next) => {
      stance = next;
    },
    stopTaking: () => {
      taking = false;
    },
    whenIdle: () =>
      new Promise((resolve) => {
        idle.add(resolve);
        tellIdle();
      }),
    cedeAll: () => handover.cede(table.all().map(({ slot }) => slot)),
    inProgress: () => ownership.inProgress(),
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
 * caller would submit the entry again elsewhere, and pay twice.
 */
function hereOnly(rejection: Rejection, { account, key }: Submission): Rejection {
  if (key === undefined) return rejection;
  return { ...rejection, notRun: false, id: keyedId(account, key).id };
}

const DRAINING: Rejection = {
  reason: Refusal.Draining,
  notRun: true,
  retryAfter: TRY_AGAIN,
  detail: "This entry instance is shutting down; resolve the address again.",
};

/** Refuses new requests in two steps while the instance is overloaded. */
function overloadRefusal(
  { configuration }: Environment,
  { stance, submission }: { stance: EntryStance; submission: Submission },
): Rejection | undefined {
  if (stance === EntryStance.Open) return undefined;
  const service = configuration.revision()?.deployment.services[submission.service];
  if (stance === EntryStance.LookupsOnly && service?.lane === Lane.Lookup) return undefined;
  const detail = "This entry instance is overloaded; resolve the address again.";
  return { reason: Refusal.EntryOverloaded, notRun: true, retryAfter: TRY_AGAIN, detail };
}

/** Yields the refusal of a request that has no owner yet. */
async function* rejected(rejection: Rejection): AsyncGenerator<CallerEvent> {
  await Promise.resolve();
  yield { kind: "rejected", rejection };
}

function unknownRequest(id: string): Rejection {
  const detail = "This client account has no request with this id.";
  return { reason: Refusal.UnknownRequest, notRun: false, detail, id };
}

/** Creates a record that only names a request, in order to follow it. */
function namedOnly({
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
  readonly draw: (random: Environment["random"]) => number | undefined;
}

/** Creates the record of a submission, or the refusal if it can't have one. */
function recordOf(
  { clock, configuration, random }: Environment,
  { submission, draw }: RecordOptions,
): RequestRecord | Rejection {
  if (configuration.isCutOff()) {
    const detail =
      "This entry instance can't determine the configuration in force: it can reach neither the store nor a peer.";
    return { reason: Refusal.CutOff, notRun: true, retryAfter: TRY_AGAIN, detail };
  }
  const revision = configuration.revision();
  const service = revision?.deployment.services[submission.service];
  if (revision !== undefined && service === undefined) {
    const detail = `The deployment has no service "${submission.service}".`;
    return { reason: Refusal.UnknownService, notRun: true, detail };
  }
  const named = nameOf({ submission, draw, random });
  if (named === undefined) {
    const detail = "This entry instance owns no slot with a live backup at present.";
    return { reason: Refusal.OwnerUnavailable, notRun: true, retryAfter: TRY_AGAIN, detail };
  }
  const now = clock.date().getTime();
  const deadline = submission.deadline ?? service?.target.deadline ?? DEFAULT_DEADLINE;
  const { account, path, body, detached } = submission;
  const keyed = submission.key !== undefined;
  return {
    ...namedOnly({ ...named, account }),
    service: submission.service,
    repeatable: submission.repeatable ?? service?.repeatable ?? true,
    detached,
    keyed,
    fingerprint: keyed ? fingerprintOf(submission) : "",
    path,
    body,
    acceptedAt: now,
    deadlineAt: now + deadline,
  };
}

function nameOf({
  submission,
  draw,
  random,
}: RecordOptions & { random: Environment["random"] }): { id: string; slot: number } | undefined {
  const { account, key } = submission;
  if (key !== undefined) return keyedId(account, key);
  const slot = draw(random);
  return slot === undefined ? undefined : { id: drawnId(slot, random), slot };
}

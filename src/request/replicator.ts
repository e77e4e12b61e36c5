import { isFinalRequestState, RequestState, SlotOutcome } from "../interface/index.ts";
import type { ReplicateMessage, RequestRecord } from "../interface/index.ts";
import type { Environment } from "./environment.ts";
import {
  applyAcknowledgement,
  isAcknowledged,
  ownsSlot,
  createReplicateMessage,
  stepDown,
} from "./slot_replica.ts";
import type { SlotReplica } from "./slot_replica.ts";
import type { SlotTable } from "./slot_table.ts";

/** The state of a record's copy at the backup, as far as the owner can determine it. */
export enum CopyState {
  /** The backup has acknowledged the record. */
  Acknowledged = "acknowledged",
  /** No message was sent: the backup certainly doesn't have the record. */
  NotSent = "not-sent",
  /** A message was sent and not answered: the backup may have the record. */
  Unknown = "unknown",
  /** This instance no longer owns the slot. */
  NotOwner = "not-owner",
}

/**
 * Replicates records to their slots' backups. Each record has at most one message in flight, which
 * always contains the latest state.
 */
export interface Replicator {
  /**
   * Replicates the current state of the record. Retries until the backup has it or this instance no
   * longer owns the slot.
   */
  send(record: RecordKey): void;
  /**
   * Waits until the backup has the current or a later state of the record.
   *
   * @param timeout Milliseconds after which the wait ends. Replication continues.
   */
  waitForCopy(record: RecordKey, timeout: number): Promise<CopyState>;
  /** Retries all waiting replications immediately, because the slot map has changed. */
  retryNow(): void;
  /** Ends all replications. */
  close(): void;
}

/** Identifies a record by slot and id. */
export type RecordKey = Pick<RequestRecord, "slot" | "id">;

/** Initial and maximum delay between attempts, in milliseconds. */
const MIN_RETRY_DELAY = 20;
const MAX_RETRY_DELAY = 1_000;

interface Replication {
  readonly key: RecordKey;
  /** Called with the result of the replication. */
  readonly listeners: Set<(state: CopyState) => void>;
  /** Whether a message was sent that the receiver has not reported as discarded. */
  hasUnresolvedMessage: boolean;
  /** Delay before the next attempt, in milliseconds. */
  retryDelay: number;
}

/** Number of tokens that the backup has, and the epoch at which it acknowledged them. */
interface CopiedTokens {
  readonly tokens: number;
  readonly epoch: number;
}

/** Creates a replicator for the slots of the table. */
export function createReplicator(environment: Environment, table: SlotTable): Replicator {
  const { clock, configuration, counters, members, peers } = environment;
  const replications = new Map<string, Replication>();
  const copiedTokens = new Map<string, CopiedTokens>();
  const waiters = new Set<() => void>();
  let isClosed = false;

  const settle = (replication: Replication, state: CopyState): void => {
    const { id, slot } = replication.key;
    replications.delete(id);
    if (isFinalRequestState(table.find(slot, id)?.state ?? RequestState.Complete))
      copiedTokens.delete(id);
    for (const notify of replication.listeners) notify(state);
    replication.listeners.clear();
  };
  const waitForRetry = (replication: Replication): Promise<void> => {
    const delay = replication.retryDelay;
    replication.retryDelay = Math.min(MAX_RETRY_DELAY, delay * 2);
    return new Promise((resolve) => {
      const wake = (): void => {
        waiters.delete(wake);
        timer.close();
        resolve();
      };
      const timer = clock.after(delay, wake);
      waiters.add(wake);
    });
  };
  const wakeAll = (): void => {
    for (const wake of [...waiters]) wake();
  };

  /** Sends one message. Resolves to false if the next attempt has to wait. */
  const sendOnce = async (replication: Replication, replica: SlotReplica): Promise<boolean> => {
    const message = createReplicateMessage(replica, replication.key.id);
    const backup = members.find(replica.assignment.backup);
    if (message === undefined || backup === undefined) return false;
    replication.hasUnresolvedMessage = true;
    try {
      const reply = await peers.replicate(
        backup,
        omitCopiedTokens(message, copiedTokens.get(replication.key.id)),
      );
      handleReply(replication, { message, outcome: reply.outcome, epoch: reply.epoch });
      return reply.outcome === SlotOutcome.Acknowledged;
    } catch {
      counters.count("replicate.no-answer");
      return false;
    }
  };
  const handleReply = (
    replication: Replication,
    result: { message: ReplicateMessage; outcome: SlotOutcome; epoch: number },
  ): void => {
    const { message, outcome, epoch } = result;
    const { id, slot } = replication.key;
    if (outcome === SlotOutcome.Acknowledged) {
      const tokens = message.record.tokens.length;
      if (tokens > 0) copiedTokens.set(id, { tokens, epoch: message.epoch });
      const { sequence } = message.record;
      table.set(applyAcknowledgement(table.get(slot), { id, sequence, epoch: message.epoch }));
      return;
    }
    counters.count(`replicate.${outcome}`);
    copiedTokens.delete(id);
    // A refusal of the first message proves that the backup stored nothing. A refusal of a later
    // one proves nothing about earlier messages.
    if (replication.retryDelay === MIN_RETRY_DELAY) replication.hasUnresolvedMessage = false;
    if (outcome === SlotOutcome.StaleEpoch && message.epoch === table.get(slot).assignment.epoch) {
      table.set(stepDown(table.get(slot), epoch));
    }
    void configuration.refresh().catch(() => undefined);
  };
  const run = async (replication: Replication): Promise<void> => {
    const { slot, id } = replication.key;
    while (!isClosed) {
      const replica = table.get(slot);
      const held = replica.records.get(id);
      if (held === undefined || !ownsSlot(replica)) {
        settle(replication, CopyState.NotOwner);
        return;
      }
      if (isAcknowledged(replica, id)) {
        settle(replication, CopyState.Acknowledged);
        return;
      }
      if (table.canActAlone(replica, held.record.repeatable)) {
        table.set(acknowledgeWithoutBackup(replica, held.record));
        continue;
      }
      if (!(await sendOnce(replication, replica))) await waitForRetry(replication);
    }
  };
  const start = (key: RecordKey, listener?: (state: CopyState) => void): Replication => {
    const existing = replications.get(key.id);
    if (existing !== undefined) {
      if (listener !== undefined) existing.listeners.add(listener);
      return existing;
    }
    const replication: Replication = {
      key: { slot: key.slot, id: key.id },
      listeners: new Set(listener === undefined ? [] : [listener]),
      hasUnresolvedMessage: false,
      retryDelay: MIN_RETRY_DELAY,
    };
    replications.set(key.id, replication);
    void run(replication);
    return replication;
  };
  return {
    send: (key) => {
      start(key);
    },
    waitForCopy: (key, timeout) => {
      if (isAcknowledged(table.get(key.slot), key.id)) {
        return Promise.resolve(CopyState.Acknowledged);
      }
      return new Promise((resolve) => {
        const notify = (state: CopyState): void => {
          timer.close();
          resolve(state);
        };
        const timer = clock.after(timeout, () => {
          replication.listeners.delete(notify);
          resolve(replication.hasUnresolvedMessage ? CopyState.Unknown : CopyState.NotSent);
        });
        const replication = start(key, notify);
      });
    },
    retryNow: wakeAll,
    close: () => {
      isClosed = true;
      wakeAll();
    },
  };
}

/** Marks a record as acknowledged. Only for slots in which this instance may act alone. */
function acknowledgeWithoutBackup(
  replica: SlotReplica,
  { id, sequence }: RequestRecord,
): SlotReplica {
  return applyAcknowledgement(replica, { id, sequence, epoch: replica.assignment.epoch });
}

/** Omits the tokens that the backup has acknowledged at this epoch. */
function omitCopiedTokens(
  message: ReplicateMessage,
  copied: CopiedTokens | undefined,
): ReplicateMessage {
  const { record } = message;
  if (copied?.epoch !== message.epoch) return message;
  const tokens = record.tokens.slice(copied.tokens);
  return { ...message, record: { ...record, tokens, tokensFrom: copied.tokens } };
}

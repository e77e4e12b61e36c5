import { hasEnded, RequestState, SlotOutcome } from "../interface/index.ts";
import type { ReplicateMessage, RequestRecord } from "../interface/index.ts";
import type { Environment } from "./environment.ts";
import {
  hearAcknowledgement,
  isAcknowledged,
  ownsSlot,
  replicationOf,
  standDown,
} from "./slot_replica.ts";
import type { SlotReplica } from "./slot_replica.ts";
import type { SlotTable } from "./slot_table.ts";

/** What is known about the copy of a record at the backup. */
export enum CopyState {
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
  send(record: Place): void;
  /**
   * Waits until the backup has the current or a later state of the record.
   *
   * @param timeout Milliseconds after which the wait ends. Replication continues.
   */
  copied(record: Place, patience: number): Promise<CopyState>;
  /** Retries all waiting replications immediately, because the slot map has changed. */
  wake(): void;
  close(): void;
}

/** Identifies a record by slot and id. */
export type Place = Pick<RequestRecord, "slot" | "id">;

/** Initial and maximum delay between attempts, in milliseconds. */
const FIRST_PAUSE = 20;
const LONGEST_PAUSE = 1_000;

interface Sending {
  readonly place: Place;
  readonly waiting: Set<(state: CopyState) => void>;
  /** Whether a message was sent that the receiver has not reported as discarded. */
  left: boolean;
  pause: number;
}

/** Number of tokens that the backup has, and the epoch at which it acknowledged them. */
interface CopiedTokens {
  readonly tokens: number;
  readonly epoch: number;
}

/** Creates a replicator for the slots of the table. */
export function createReplicator(environment: Environment, table: SlotTable): Replicator {
  const { clock, configuration, counters, members, peers } = environment;
  const sendings = new Map<string, Sending>();
  const copiedTokens = new Map<string, CopiedTokens>();
  const sleeping = new Set<() => void>();
  let closed = false;

  const settle = (sending: Sending, state: CopyState): void => {
    const { id, slot } = sending.place;
    sendings.delete(id);
    if (hasEnded(table.find(slot, id)?.state ?? RequestState.Complete)) copiedTokens.delete(id);
    for (const tell of sending.waiting) tell(state);
    sending.waiting.clear();
  };
  const pauseOf = (sending: Sending): Promise<void> => {
    const pause = sending.pause;
    sending.pause = Math.min(LONGEST_PAUSE, pause * 2);
    return new Promise((resolve) => {
      const wake = (): void => {
        sleeping.delete(wake);
        timer.close();
        resolve();
      };
      const timer = clock.after(pause, wake);
      sleeping.add(wake);
    });
  };
  const wakeAll = (): void => {
    for (const wake of [...sleeping]) wake();
  };

  /** Sends one message. Resolves to false if the next attempt has to wait. */
  const sendOnce = async (sending: Sending, replica: SlotReplica): Promise<boolean> => {
    const message = replicationOf(replica, sending.place.id);
    const backup = members.find(replica.assignment.backup);
    if (message === undefined || backup === undefined) return false;
    sending.left = true;
    try {
      const reply = await peers.replicate(
        backup,
        shortened(message, copiedTokens.get(sending.place.id)),
      );
      hearReply(sending, { message, outcome: reply.outcome, epoch: reply.epoch });
      return reply.outcome === SlotOutcome.Acknowledged;
    } catch {
      counters.count("replicate.no-answer");
      return false;
    }
  };
  const hearReply = (
    sending: Sending,
    answer: { message: ReplicateMessage; outcome: SlotOutcome; epoch: number },
  ): void => {
    const { message, outcome, epoch } = answer;
    const { id, slot } = sending.place;
    if (outcome === SlotOutcome.Acknowledged) {
      const tokens = message.record.tokens.length;
      if (tokens > 0) copiedTokens.set(id, { tokens, epoch: message.epoch });
      const { sequence } = message.record;
      table.set(hearAcknowledgement(table.get(slot), { id, sequence, epoch: message.epoch }));
      return;
    }
    counters.count(`replicate.${outcome}`);
    copiedTokens.delete(id);
    // A refusal of the first message proves that the backup stored nothing. A refusal of a later
    // one proves nothing about earlier messages.
    if (sending.pause === FIRST_PAUSE) sending.left = false;
    if (outcome === SlotOutcome.StaleEpoch && message.epoch === table.get(slot).assignment.epoch) {
      table.set(standDown(table.get(slot), epoch));
    }
    void configuration.refresh().catch(() => undefined);
  };
  const run = async (sending: Sending): Promise<void> => {
    const { slot, id } = sending.place;
    while (!closed) {
      const replica = table.get(slot);
      const held = replica.held.get(id);
      if (held === undefined || !ownsSlot(replica)) {
        settle(sending, CopyState.NotOwner);
        return;
      }
      if (isAcknowledged(replica, id)) {
        settle(sending, CopyState.Acknowledged);
        return;
      }
      if (table.actsAlone(replica, held.record.repeatable)) {
        table.set(acknowledgedAlone(replica, held.record));
        continue;
      }
      if (!(await sendOnce(sending, replica))) await pauseOf(sending);
    }
  };
  const begin = (place: Place, waiting?: (state: CopyState) => void): Sending => {
    const before = sendings.get(place.id);
    if (before !== undefined) {
      if (waiting !== undefined) before.waiting.add(waiting);
      return before;
    }
    const sending: Sending = {
      place: { slot: place.slot, id: place.id },
      waiting: new Set(waiting === undefined ? [] : [waiting]),
      left: false,
      pause: FIRST_PAUSE,
    };
    sendings.set(place.id, sending);
    void run(sending);
    return sending;
  };
  return {
    send: (place) => {
      begin(place);
    },
    copied: (place, patience) => {
      if (isAcknowledged(table.get(place.slot), place.id)) {
        return Promise.resolve(CopyState.Acknowledged);
      }
      return new Promise((resolve) => {
        const tell = (state: CopyState): void => {
          timer.close();
          resolve(state);
        };
        const timer = clock.after(patience, () => {
          sending.waiting.delete(tell);
          resolve(sending.left ? CopyState.Unknown : CopyState.NotSent);
        });
        const sending = begin(place, tell);
      });
    },
    wake: wakeAll,
    close: () => {
      closed = true;
      wakeAll();
    },
  };
}

/** Marks a record as acknowledged if, according to the slot map, no second instance can hold it. */
function acknowledgedAlone(replica: SlotReplica, { id, sequence }: RequestRecord): SlotReplica {
  return hearAcknowledgement(replica, { id, sequence, epoch: replica.assignment.epoch });
}

/** Omits the tokens that the backup has acknowledged at this epoch. */
function shortened(message: ReplicateMessage, copied: CopiedTokens | undefined): ReplicateMessage {
  const { record } = message;
  if (copied?.epoch !== message.epoch) return message;
  const tokens = record.tokens.slice(copied.tokens);
  return { ...message, record: { ...record, tokens, tokensFrom: copied.tokens } };
}

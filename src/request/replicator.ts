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

/** What is known of a record's copy at the backup. */
export enum CopyState {
  Acknowledged = "acknowledged",
  /** No message has left: the backup certainly doesn't have it. */
  NotSent = "not-sent",
  /** A message has left and no answer came: the backup may have it. */
  Unknown = "unknown",
  /** This instance doesn't own the slot any more. */
  NotOwner = "not-owner",
}

/** Brings records to their slots' backups: one message at a time for each record, always the latest state. */
export interface Replicator {
  /** Brings the record as it stands to the backup, trying again until it is there or not ours. */
  send(record: Place): void;
  /**
   * Waits until the backup has the record as it stands now or later.
   *
   * @param patience Milliseconds after which the wait is given up; the sending goes on.
   */
  copied(record: Place, patience: number): Promise<CopyState>;
  /** Tries again at once what waits for its next try: the slot map has changed. */
  wake(): void;
  close(): void;
}

/** Where a record is. */
export type Place = Pick<RequestRecord, "slot" | "id">;

/** Pauses between tries, in milliseconds. */
const FIRST_PAUSE = 20;
const LONGEST_PAUSE = 1_000;

interface Sending {
  readonly place: Place;
  readonly waiting: Set<(state: CopyState) => void>;
  /** Whether a message has left of which the receiver hasn't said that it didn't keep it. */
  left: boolean;
  pause: number;
}

/** Tokens that the backup has, and the epoch at which it said so. */
interface CopiedTokens {
  readonly tokens: number;
  readonly epoch: number;
}

/** Makes a replicator over the table's slots. */
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

  /** Sends once; resolves false where the next try has to wait. */
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
    // At the first try the receiver has said that it kept nothing; later ones prove nothing of earlier ones.
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

/** A record that no second instance can hold counts as acknowledged: by nobody, as the map says. */
function acknowledgedAlone(replica: SlotReplica, { id, sequence }: RequestRecord): SlotReplica {
  return hearAcknowledgement(replica, { id, sequence, epoch: replica.assignment.epoch });
}

/** Leaves out the tokens that the backup has said it has, at this epoch. */
function shortened(message: ReplicateMessage, copied: CopiedTokens | undefined): ReplicateMessage {
  const { record } = message;
  if (copied?.epoch !== message.epoch) return message;
  const tokens = record.tokens.slice(copied.tokens);
  return { ...message, record: { ...record, tokens, tokensFrom: copied.tokens } };
}

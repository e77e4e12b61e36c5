import { MemberState, SlotOutcome, sleep } from "../interface/index.ts";
import type { HandoverMessage, Member, Timer } from "../interface/index.ts";
import { rendezvousOrder } from "../version/index.ts";
import type { Environment } from "./environment.ts";
import type { OwnedRequests } from "./owned_requests.ts";
import {
  areAllAcknowledged,
  createSlotHandover,
  createCompletionMessage,
  createCopyMessage,
  hasRecordsToForward,
  ownsSlot,
  Stance,
} from "./slot_replica.ts";
import type { SlotReplica } from "./slot_replica.ts";
import type { SlotTable } from "./slot_table.ts";

/** Hands over slots and records to other instances. */
export interface Handover {
  /**
   * Copies the records of the slots to a member that is about to become their backup. Resolves to
   * true once the member has all of them.
   */
  copyTo(slots: readonly number[], member: Member): Promise<boolean>;
  /**
   * Hands over those of the given slots that this instance owns, and the copies that no other
   * instance can forward.
   */
  handOver(slots: readonly number[]): Promise<void>;
  /**
   * Sends the records that this instance holds in custody to the slot's primary, and drops them
   * once the primary has them.
   *
   * @param delay Milliseconds to keep them first, while a new backup receives its copies.
   */
  forward(slot: number, delay: number): void;
  /**
   * Waits until a newly assigned backup has every record of the slot, then notifies it that its
   * history is complete. Only then may it take the slot over.
   */
  confirmHistory(slot: number): void;
  /**
   * Whether the slot's backup can become its primary without loss: the slot was handed over, or the
   * backup has acknowledged every record at this epoch and, if this instance has the whole history,
   * the notice of that too.
   *
   * @param epoch Epoch of the assignment that the new one is to replace.
   */
  isBackupReady(slot: number, epoch: number): boolean;
  close(): void;
}

/** Maximum number of attempts to send one message. */
const MAX_ATTEMPTS = 4;
/** Delay before the second attempt in milliseconds. It doubles with each attempt. */
const MIN_RETRY_DELAY = 100;
/** Milliseconds between two checks of whether a new backup has acknowledged every record. */
const COMPLETION_POLL_INTERVAL = 250;

/** Epoch of a slot's first owners. There is no history before it, so its backup needs no notice. */
const FIRST_EPOCH = 1;

/** Creates the component that hands over slots. */
export function createHandover(
  environment: Environment,
  { table, ownedRequests }: { table: SlotTable; ownedRequests: OwnedRequests },
): Handover {
  const { clock, counters, members, peers } = environment;
  /**
   * Epoch at which the slot's backup last acknowledged that its history is complete, or at which
   * the slot was handed over.
   */
  const confirmedEpochs = new Map<number, number>();

  const sendHandover = async (
    to: Member,
    message: HandoverMessage,
  ): Promise<SlotOutcome | undefined> => {
    for (let tries = 0; tries < MAX_ATTEMPTS; tries++) {
      try {
        const { outcome } = await peers.cede(to, message);
        if (outcome !== SlotOutcome.Unable) return outcome;
      } catch {
        counters.count("cede.no-answer");
      }
      await sleep(clock, MIN_RETRY_DELAY * 2 ** tries);
    }
    return undefined;
  };
  const isAlive = (id: string): boolean =>
    id !== "" && id !== members.self.id && members.stateOf(id) === MemberState.Alive;

  /**
   * Selects a live instance that isn't leaving. All instances that forward records of the slot
   * select the same one. With two custodians, the older copy could reach the new owner first, and
   * the owner would start a request that is already running.
   */
  const selectCustodian = (slot: number, excluded: string): Member | undefined => {
    const otherMembers = members.alive().filter(({ id }) => isAlive(id) && id !== excluded);
    const ids = otherMembers.map(({ id }) => id);
    const [custodianId] = rendezvousOrder(`custody/${slot}`, ids);
    return otherMembers.find(({ id }) => id === custodianId);
  };

  const handOverSlot = async (replica: SlotReplica): Promise<void> => {
    const { slot } = replica;
    const { backup } = replica.assignment;
    const backupMember = isAlive(backup) ? members.find(backup) : undefined;
    if (backupMember !== undefined) {
      const slotHandover = createSlotHandover(replica, backupMember.id);
      table.set(slotHandover.replica);
      const outcome = await sendHandover(backupMember, slotHandover.message);
      // Without an acknowledgement too, since this instance no longer acts for the slot.
      confirmedEpochs.set(slot, slotHandover.message.epoch);
      if (outcome === SlotOutcome.Acknowledged) return;
    }
    // The assigned backup may own the slot by now. Any other instance only holds the records in
    // custody.
    const current = table.get(slot);
    const custodian = selectCustodian(slot, backup);
    if (custodian === undefined) {
      counters.count("cede.nobody");
      return;
    }
    const slotHandover = createSlotHandover(current, custodian.id);
    if (current.stance !== Stance.Backup) table.set(slotHandover.replica);
    if (slotHandover.message.records.length > 0)
      await sendHandover(custodian, slotHandover.message);
  };

  /** A backup that is being reclaimed forwards its copies if the primary can't. */
  const mustForward = ({ stance, assignment, records }: SlotReplica): boolean =>
    stance === Stance.Backup && records.size > 0 && !isAlive(assignment.primary);

  const scheduled = new Map<number, { readonly timer: Timer; readonly dueAt: number }>();
  const forwardNow = async (slot: number): Promise<void> => {
    const replica = table.get(slot);
    const { primary } = replica.assignment;
    if (!hasRecordsToForward(replica) || !isAlive(primary)) return;
    const member = members.find(primary);
    if (member === undefined) return;
    const outcome = await sendHandover(member, createSlotHandover(replica, member.id).message);
    if (outcome !== SlotOutcome.Acknowledged || replica.stance === Stance.Backup) return;
    // Drops only records that were sent and have not changed since.
    for (const [id, held] of replica.records) {
      if (table.find(slot, id) === held.record && !ownsSlot(table.get(slot)))
        table.forget(slot, id);
    }
  };

  let isClosed = false;
  const confirming = new Set<number>();
  const confirmNow = async (slot: number): Promise<void> => {
    const { epoch, backup } = table.get(slot).assignment;
    while (!isClosed && table.get(slot).assignment.epoch === epoch && ownsSlot(table.get(slot))) {
      const member = isAlive(backup) ? members.find(backup) : undefined;
      const message = createCompletionMessage(table.get(slot));
      if (member !== undefined && message !== undefined) {
        if ((await sendHandover(member, message)) === SlotOutcome.Acknowledged) {
          confirmedEpochs.set(slot, epoch);
          return;
        }
      }
      await sleep(clock, COMPLETION_POLL_INTERVAL);
    }
  };

  const handover: Handover = {
    confirmHistory: (slot) => {
      const { stance, assignment, completeThroughEpoch } = table.get(slot);
      const isConfirmable = stance === Stance.Primary && completeThroughEpoch >= assignment.epoch;
      if (!isConfirmable || assignment.epoch <= FIRST_EPOCH || assignment.backup === "") return;
      if (confirming.has(slot)) return;
      confirming.add(slot);
      void confirmNow(slot).finally(() => {
        confirming.delete(slot);
        const hasLaterEpoch = table.get(slot).assignment.epoch > assignment.epoch;
        if (hasLaterEpoch && !isClosed) handover.confirmHistory(slot);
      });
    },
    isBackupReady: (slot, epoch) => {
      const replica = table.get(slot);
      const { stance, assignment, completeThroughEpoch } = replica;
      if (assignment.epoch !== epoch) return false;
      if (stance === Stance.Ceded) return confirmedEpochs.get(slot) === epoch;
      if (stance !== Stance.Primary) return false;
      if (!areAllAcknowledged(replica)) return false;
      const needsConfirmation = epoch > FIRST_EPOCH && completeThroughEpoch >= epoch;
      return !needsConfirmation || confirmedEpochs.get(slot) === epoch;
    },
    copyTo: async (slots, member) => {
      // A slot that was handed over continues at the receiver: a copy from here would be out of
      // date.
      if (!slots.every((slot) => ownsSlot(table.get(slot)))) return false;
      ownedRequests.writeAllProgress();
      const copies = slots.map((slot) => createCopyMessage(table.get(slot)));
      const nonEmpty = copies.filter(({ records }) => records.length > 0);
      const outcomes = await Promise.all(nonEmpty.map((message) => sendHandover(member, message)));
      return outcomes.every((outcome) => outcome === SlotOutcome.Acknowledged);
    },
    handOver: async (slots) => {
      ownedRequests.writeAllProgress();
      const replicas = slots.map((slot) => table.get(slot));
      const affected = replicas.filter((replica) => ownsSlot(replica) || mustForward(replica));
      await Promise.all(affected.map(handOverSlot));
    },
    forward: (slot, delay) => {
      const dueAt = clock.now() + delay;
      const existing = scheduled.get(slot);
      if (existing !== undefined && existing.dueAt <= dueAt) return;
      existing?.timer.close();
      const timer = clock.after(delay, () => {
        scheduled.delete(slot);
        void forwardNow(slot);
      });
      scheduled.set(slot, { timer, dueAt });
    },
    close: () => {
      isClosed = true;
      for (const { timer } of scheduled.values()) timer.close();
      scheduled.clear();
    },
  };
  return handover;
}

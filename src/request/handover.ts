import { MemberState, SlotOutcome, sleep } from "../interface/index.ts";
import type { CedeMessage, Member, Timer } from "../interface/index.ts";
import { rendezvousOrder } from "../version/index.ts";
import type { Environment } from "./environment.ts";
import type { Ownership } from "./ownership.ts";
import { cedeSlot, completionOf, copyOf, isKeeper, ownsSlot, Stance } from "./slot_replica.ts";
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
  cede(slots: readonly number[]): Promise<void>;
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
  complete(slot: number): void;
  close(): void;
}

const TRIES = 4;
const TRY_PAUSE = 100;
/** Milliseconds between two checks of whether a new backup has acknowledged every record. */
const COMPLETION_PAUSE = 250;

/** Creates the component that hands over slots. */
export function createHandover(
  environment: Environment,
  { table, ownership }: { table: SlotTable; ownership: Ownership },
): Handover {
  const { clock, counters, members, peers } = environment;

  const tell = async (to: Member, message: CedeMessage): Promise<SlotOutcome | undefined> => {
    for (let tries = 0; tries < TRIES; tries++) {
      try {
        const { outcome } = await peers.cede(to, message);
        if (outcome !== SlotOutcome.Unable) return outcome;
      } catch {
        counters.count("cede.no-answer");
      }
      await sleep(clock, TRY_PAUSE * 2 ** tries);
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
  const keeper = (slot: number, not: string): Member | undefined => {
    const others = members.alive().filter(({ id }) => isAlive(id) && id !== not);
    const ids = others.map(({ id }) => id);
    const [first] = rendezvousOrder(`custody/${slot}`, ids);
    return others.find(({ id }) => id === first);
  };

  const cedeOne = async (replica: SlotReplica): Promise<void> => {
    const { slot } = replica;
    const { backup } = replica.assignment;
    const named = isAlive(backup) ? members.find(backup) : undefined;
    if (named !== undefined) {
      const cession = cedeSlot(replica, named.id);
      table.set(cession.replica);
      const outcome = await tell(named, cession.message);
      if (outcome === SlotOutcome.Acknowledged) return;
    }
    // The assigned backup may own the slot by now. Any other instance only holds the records in
    // custody.
    const current = table.get(slot);
    const other = keeper(slot, backup);
    if (other === undefined) {
      counters.count("cede.nobody");
      return;
    }
    const cession = cedeSlot(current, other.id);
    if (current.stance !== Stance.Backup) table.set(cession.replica);
    if (cession.message.records.length > 0) await tell(other, cession.message);
  };

  /** A backup that is being reclaimed forwards its copies if the primary can't. */
  const mustHandOn = ({ stance, assignment, held }: SlotReplica): boolean =>
    stance === Stance.Backup && held.size > 0 && !isAlive(assignment.primary);

  const waiting = new Map<number, { readonly timer: Timer; readonly dueAt: number }>();
  const forwardNow = async (slot: number): Promise<void> => {
    const replica = table.get(slot);
    const { primary } = replica.assignment;
    if (!isKeeper(replica) || !isAlive(primary)) return;
    const member = members.find(primary);
    if (member === undefined) return;
    const outcome = await tell(member, cedeSlot(replica, member.id).message);
    if (outcome !== SlotOutcome.Acknowledged || replica.stance === Stance.Backup) return;
    // Drops only records that were sent and have not changed since.
    for (const [id, held] of replica.held) {
      if (table.find(slot, id) === held.record && !ownsSlot(table.get(slot)))
        table.forget(slot, id);
    }
  };

  let closed = false;
  const completing = new Set<number>();
  const completeNow = async (slot: number): Promise<void> => {
    const { epoch, backup } = table.get(slot).assignment;
    while (!closed && table.get(slot).assignment.epoch === epoch && ownsSlot(table.get(slot))) {
      const member = isAlive(backup) ? members.find(backup) : undefined;
      const message = completionOf(table.get(slot));
      if (member !== undefined && message !== undefined) {
        if ((await tell(member, message)) !== undefined) return;
      }
      await sleep(clock, COMPLETION_PAUSE);
    }
  };

  const handover: Handover = {
    complete: (slot) => {
      const { stance, assignment, completeTo } = table.get(slot);
      const wanted = stance === Stance.Primary && completeTo >= assignment.epoch;
      // The backup of the first epoch knows that there is no earlier history.
      if (!wanted || assignment.epoch <= 1 || assignment.backup === "") return;
      if (completing.has(slot)) return;
      completing.add(slot);
      void completeNow(slot).finally(() => {
        completing.delete(slot);
        const later = table.get(slot).assignment.epoch > assignment.epoch;
        if (later && !closed) handover.complete(slot);
      });
    },
    copyTo: async (slots, member) => {
      // A slot that was handed over continues at the receiver: a copy from here would be out of
      // date.
      if (!slots.every((slot) => ownsSlot(table.get(slot)))) return false;
      ownership.writeAll();
      const copies = slots.map((slot) => copyOf(table.get(slot)));
      const full = copies.filter(({ records }) => records.length > 0);
      const outcomes = await Promise.all(full.map((message) => tell(member, message)));
      return outcomes.every((outcome) => outcome === SlotOutcome.Acknowledged);
    },
    cede: async (slots) => {
      ownership.writeAll();
      const replicas = slots.map((slot) => table.get(slot));
      const ours = replicas.filter((replica) => ownsSlot(replica) || mustHandOn(replica));
      await Promise.all(ours.map(cedeOne));
    },
    forward: (slot, delay) => {
      const dueAt = clock.now() + delay;
      const before = waiting.get(slot);
      if (before !== undefined && before.dueAt <= dueAt) return;
      before?.timer.close();
      const timer = clock.after(delay, () => {
        waiting.delete(slot);
        void forwardNow(slot);
      });
      waiting.set(slot, { timer, dueAt });
    },
    close: () => {
      closed = true;
      for (const { timer } of waiting.values()) timer.close();
      waiting.clear();
    },
  };
  return handover;
}

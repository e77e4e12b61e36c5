import { MemberState, SlotOutcome, sleep } from "../interface/index.ts";
import type { CedeMessage, Member, Timer } from "../interface/index.ts";
import { rendezvousOrder } from "../version/index.ts";
import type { Environment } from "./environment.ts";
import type { Ownership } from "./ownership.ts";
import { cedeSlot, completionOf, copyOf, isKeeper, ownsSlot, Stance } from "./slot_replica.ts";
import type { SlotReplica } from "./slot_replica.ts";
import type { SlotTable } from "./slot_table.ts";

/** Hands slots and records to other instances. */
export interface Handover {
  /** Copies the slots' records to a member that is to become their backup. */
  copyTo(slots: readonly number[], member: Member): Promise<boolean>;
  /** Hands over the given slots that this instance owns, or whose copies nobody else will hand on. */
  cede(slots: readonly number[]): Promise<void>;
  /**
   * Brings records that are kept here in custody to the slot's primary, and drops them once it has them.
   *
   * @param delay Milliseconds to keep them before that, while a new backup gets its copies.
   */
  forward(slot: number, delay: number): void;
  /** Brings a newly named backup to where it may take the slot over, and tells it so. */
  complete(slot: number): void;
  close(): void;
}

const TRIES = 4;
const TRY_PAUSE = 100;
/** Milliseconds between two looks at whether a new backup has acknowledged every record. */
const COMPLETION_PAUSE = 250;

/** Makes the part that hands over. */
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
   * A live instance that isn't leaving, the same one for all who hand on records of the slot. With two
   * custodians the older copy could reach the new owner first, which would begin anew what runs already.
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
    // The named backup may own the slot by now: any other only keeps the records.
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

  /** A backup under notice hands its copies on where the primary can't do it. */
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
    // Only what was sent and hasn't changed since is dropped.
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
      // The backup of the first epoch knows that nothing came before it.
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
      // What has been handed over goes on at the receiver: a copy from here would be of the past.
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

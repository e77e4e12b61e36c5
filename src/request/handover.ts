import { MemberState, SlotOutcome, sleep } from "../interface/index.ts";
import type { CedeMessage, Member } from "../interface/index.ts";
import type { Environment } from "./environment.ts";
import type { Ownership } from "./ownership.ts";
import { cedeSlot, copyOf, ownsSlot, Stance } from "./slot_replica.ts";
import type { SlotReplica } from "./slot_replica.ts";
import type { SlotTable } from "./slot_table.ts";

/** Hands slots and records to other instances. */
export interface Handover {
  /** Copies the slots' records to a member that is to become their backup. */
  copyTo(slots: readonly number[], member: Member): Promise<boolean>;
  /** Hands over the given slots that this instance owns, or whose copies nobody else will hand on. */
  cede(slots: readonly number[]): Promise<void>;
  /** Brings records that are kept here in custody to the slot's primary. */
  forward(slot: number): Promise<void>;
}

const TRIES = 4;
const TRY_PAUSE = 100;

/** Makes the part that hands over. */
export function createHandover(
  environment: Environment,
  { table, ownership }: { table: SlotTable; ownership: Ownership },
): Handover {
  const { clock, counters, members, peers, random } = environment;

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

  /** Another live instance that isn't leaving, in another availability zone where there is one. */
  const keeper = (not: string): Member | undefined => {
    const others = members.alive().filter(({ id }) => isAlive(id) && id !== not);
    const apart = others.filter(({ zone }) => zone !== members.self.zone);
    const able = apart.length > 0 ? apart : others;
    return able[Math.floor(random.next() * able.length)];
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
    const other = keeper(backup);
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

  return {
    copyTo: async (slots, member) => {
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
    forward: async (slot) => {
      const replica = table.get(slot);
      const { primary } = replica.assignment;
      if (replica.stance !== Stance.None || replica.held.size === 0 || !isAlive(primary)) return;
      const member = members.find(primary);
      if (member === undefined) return;
      const outcome = await tell(member, copyOf(replica));
      if (outcome !== SlotOutcome.Acknowledged) return;
      for (const id of replica.held.keys()) table.forget(slot, id);
    },
  };
}

import { MemberState } from "../interface/index.ts";
import type { Random, RequestRecord, SlotReply } from "../interface/index.ts";
import { assignmentOf, SLOT_COUNT } from "../version/index.ts";
import type { Environment, Subscription } from "./environment.ts";
import {
  emptyReplica,
  forgetRecord,
  applyAssignment,
  ownsSlot,
  Stance,
  writeRecord,
} from "./slot_replica.ts";
import type { SlotReplica } from "./slot_replica.ts";

/** A change of a slot's role or epoch at this instance. */
export interface SlotChange {
  readonly before: SlotReplica;
  readonly after: SlotReplica;
}

/** The states of all slots at this instance. The table follows the slot map. */
export interface SlotTable {
  /** Returns the state of a slot. */
  get(slot: number): SlotReplica;
  /** Replaces the state of a slot with the result of a protocol transition. */
  set(replica: SlotReplica): void;
  /** Replaces the state of a slot and returns the reply. */
  applyTransition(result: { replica: SlotReplica; reply: SlotReply }): SlotReply;
  /** Writes a record as the owner and returns it with its new sequence. */
  write(record: RequestRecord): RequestRecord;
  /** Returns a record, or undefined if this instance doesn't have it. */
  find(slot: number, id: string): RequestRecord | undefined;
  /** Removes a record. */
  forget(slot: number, id: string): void;
  /**
   * Picks a random slot of this instance that has a live backup, in another availability zone if
   * there is one.
   */
  pickSlot(random: Random): number | undefined;
  /**
   * Whether this instance may serve requests of the slot without a copy at a backup.
   *
   * There are two cases. If the slot map names no backup, all requests may be served: an instance
   * that is later assigned the slot without its records refuses unknown keys. If the map names a
   * backup but no other member is alive, only repeatable requests may be served: the backup may be
   * alive on the other side of a partition and would run the same key again.
   */
  canActAlone(replica: SlotReplica, repeatable: boolean): boolean;
  /**
   * Whether the backup in the slot map can acknowledge copies. A leaving one still does, until the
   * slot map names another one in its place.
   */
  hasReachableBackup(replica: SlotReplica): boolean;
  /** Returns the states of all slots, in the order of their numbers. */
  all(): readonly SlotReplica[];
  /** Calls the listener after the role or epoch of a slot has changed. */
  onChange(listener: (change: SlotChange) => void): Subscription;
  close(): void;
}

/** Creates the table. It follows the slot map until it is closed. */
export function createSlotTable(environment: Environment): SlotTable {
  const { configuration, members } = environment;
  const self = members.self.id;
  const replicas = Array.from({ length: SLOT_COUNT }, (_, slot) => emptyReplica(self, slot));
  const listeners = new Set<(change: SlotChange) => void>();
  let eligibleSlots: readonly number[] | undefined;

  const get = (slot: number): SlotReplica => replicas[slot] ?? emptyReplica(self, slot);
  const set = (after: SlotReplica): void => {
    const before = get(after.slot);
    if (before === after) return;
    replicas[after.slot] = after;
    const isUnchanged =
      before.stance === after.stance && before.assignment.epoch === after.assignment.epoch;
    if (isUnchanged) return;
    eligibleSlots = undefined;
    for (const listener of listeners) listener({ before, after });
  };
  const isAlone = (): boolean => members.alive().every((member) => member.id === self);
  const applySlotMap = (): void => {
    eligibleSlots = undefined;
    const map = configuration.slotMap();
    const isProvisional = map.version === 0 && isAlone();
    for (const replica of [...replicas]) {
      const next = applyAssignment(replica, assignmentOf(map, replica.slot));
      set(isProvisional ? provisionalOwner(next) : next);
    }
  };
  const hasBackupIn = ({ assignment }: SlotReplica, ...states: MemberState[]): boolean =>
    assignment.backup !== "" &&
    members.find(assignment.backup) !== undefined &&
    states.includes(members.stateOf(assignment.backup));
  const canActAlone = (replica: SlotReplica, repeatable: boolean): boolean => {
    if (replica.stance === Stance.Primary && replica.assignment.backup === "") return true;
    return repeatable && ownsSlot(replica) && isAlone();
  };
  const findEligibleSlots = (): readonly number[] => {
    const primary = replicas.filter((replica) => replica.stance === Stance.Primary);
    const withBackup = primary.filter((replica) => hasBackupIn(replica, MemberState.Alive));
    const inOtherZone = withBackup.filter(
      ({ assignment }) => members.find(assignment.backup)?.zone !== members.self.zone,
    );
    const actingAlone = primary.filter((replica) => canActAlone(replica, true));
    const chosen = [inOtherZone, withBackup, actingAlone].find((slots) => slots.length > 0) ?? [];
    return chosen.map((replica) => replica.slot);
  };
  const subscriptions = [
    configuration.onChange(applySlotMap),
    members.onChange(() => {
      eligibleSlots = undefined;
    }),
  ];
  applySlotMap();
  return {
    get,
    set,
    applyTransition: ({ replica, reply }) => {
      set(replica);
      return reply;
    },
    write: (record) => {
      const after = writeRecord(get(record.slot), record);
      set(after);
      return after.records.get(record.id)?.record ?? record;
    },
    find: (slot, id) => get(slot).records.get(id)?.record,
    forget: (slot, id) => set(forgetRecord(get(slot), id)),
    pickSlot: (random) => {
      eligibleSlots ??= findEligibleSlots();
      return eligibleSlots[Math.floor(random.next() * eligibleSlots.length)];
    },
    canActAlone,
    hasReachableBackup: (replica) => hasBackupIn(replica, MemberState.Alive, MemberState.Leaving),
    all: () => replicas,
    onChange: (listener) => {
      listeners.add(listener);
      return { close: () => listeners.delete(listener) };
    },
    close: () => {
      for (const subscription of subscriptions) subscription.close();
      listeners.clear();
    },
  };
}

/**
 * Makes an instance that has found no other member the owner of a slot until the slot map is first
 * written. It may run only requests that no other instance can have received, which are those whose
 * ids it has generated itself. Any slot map that is written replaces epoch 0.
 */
function provisionalOwner(replica: SlotReplica): SlotReplica {
  if (replica.assignment.epoch > 0 || replica.stance === Stance.Primary) return replica;
  const assignment = { ...replica.assignment, primary: replica.self };
  return { ...replica, assignment, stance: Stance.Primary };
}

import { MemberState } from "../interface/index.ts";
import type { Random, RequestRecord, SlotReply } from "../interface/index.ts";
import { assignmentOf, SLOT_COUNT } from "../version/index.ts";
import type { Environment, Subscription } from "./environment.ts";
import {
  emptyReplica,
  forgetRecord,
  hearAssignment,
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
  get(slot: number): SlotReplica;
  /** Replaces the state of a slot with the result of a protocol transition. */
  set(replica: SlotReplica): void;
  /** Replaces the state of a slot and returns the reply. */
  answer(answered: { replica: SlotReplica; reply: SlotReply }): SlotReply;
  /** Writes a record as the owner and returns it with its new sequence. */
  write(record: RequestRecord): RequestRecord;
  find(slot: number, id: string): RequestRecord | undefined;
  forget(slot: number, id: string): void;
  /**
   * Picks a random slot of this instance that has a live backup, in another availability zone if
   * there is one.
   */
  draw(random: Random): number | undefined;
  /**
   * Whether the slot's records need no second holder, because none is available.
   *
   * A lone instance acts alone in two cases. If the slot map names no backup, it does so for every
   * request: an instance that is assigned the slot without its records refuses unknown keys. If the
   * map names a backup but no other member is alive, it does so for repeatable requests only: the
   * backup may be alive on the other side of a partition and would run the same key again.
   */
  actsAlone(replica: SlotReplica, repeatable: boolean): boolean;
  /** Whether the backup in the slot map is known and alive. */
  hasLiveBackup(replica: SlotReplica): boolean;
  all(): readonly SlotReplica[];
  onChange(listener: (change: SlotChange) => void): Subscription;
  close(): void;
}

/** Creates the table. It follows the slot map until it is closed. */
export function createSlotTable(environment: Environment): SlotTable {
  const { configuration, members } = environment;
  const self = members.self.id;
  const replicas = Array.from({ length: SLOT_COUNT }, (_, slot) => emptyReplica(self, slot));
  const listeners = new Set<(change: SlotChange) => void>();
  let drawable: readonly number[] | undefined;

  const get = (slot: number): SlotReplica => replicas[slot] ?? emptyReplica(self, slot);
  const set = (after: SlotReplica): void => {
    const before = get(after.slot);
    if (before === after) return;
    replicas[after.slot] = after;
    const same =
      before.stance === after.stance && before.assignment.epoch === after.assignment.epoch;
    if (same) return;
    drawable = undefined;
    for (const listener of listeners) listener({ before, after });
  };
  const isLone = (): boolean => members.alive().every((member) => member.id === self);
  const followMap = (): void => {
    drawable = undefined;
    const map = configuration.slotMap();
    const provisional = map.version === 0 && isLone();
    for (const replica of [...replicas]) {
      const next = hearAssignment(replica, assignmentOf(map, replica.slot));
      set(provisional ? provisionalOwner(next) : next);
    }
  };
  const hasLiveBackup = ({ assignment }: SlotReplica): boolean =>
    assignment.backup !== "" &&
    members.find(assignment.backup) !== undefined &&
    members.stateOf(assignment.backup) === MemberState.Alive;
  const actsAlone = (replica: SlotReplica, repeatable: boolean): boolean => {
    if (replica.stance === Stance.Primary && replica.assignment.backup === "") return true;
    return repeatable && ownsSlot(replica) && isLone();
  };
  const computeDrawable = (): readonly number[] => {
    const primary = replicas.filter((replica) => replica.stance === Stance.Primary);
    const backed = primary.filter(hasLiveBackup);
    const apart = backed.filter(
      ({ assignment }) => members.find(assignment.backup)?.zone !== members.self.zone,
    );
    const alone = primary.filter((replica) => actsAlone(replica, true));
    const chosen = [apart, backed, alone].find((slots) => slots.length > 0) ?? [];
    return chosen.map((replica) => replica.slot);
  };
  const subscriptions = [
    configuration.onChange(followMap),
    members.onChange(() => {
      drawable = undefined;
    }),
  ];
  followMap();
  return {
    get,
    set,
    answer: ({ replica, reply }) => {
      set(replica);
      return reply;
    },
    write: (record) => {
      const after = writeRecord(get(record.slot), record);
      set(after);
      return after.held.get(record.id)?.record ?? record;
    },
    find: (slot, id) => get(slot).held.get(id)?.record,
    forget: (slot, id) => set(forgetRecord(get(slot), id)),
    draw: (random) => {
      drawable ??= computeDrawable();
      return drawable[Math.floor(random.next() * drawable.length)];
    },
    actsAlone,
    hasLiveBackup,
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
 * Makes an instance that knows no other the owner of a slot before the slot map is first written.
 * It may run only requests that no other instance can know, which are those whose ids it has
 * generated itself. Epoch 0 is replaced by every slot map that is written.
 */
function provisionalOwner(replica: SlotReplica): SlotReplica {
  if (replica.assignment.epoch > 0 || replica.stance === Stance.Primary) return replica;
  const assignment = { ...replica.assignment, primary: replica.self };
  return { ...replica, assignment, stance: Stance.Primary };
}

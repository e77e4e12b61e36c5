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

/** A slot whose stance or epoch has changed at this instance. */
export interface SlotChange {
  readonly before: SlotReplica;
  readonly after: SlotReplica;
}

/** All slots as this instance sees them; it follows the slot map. */
export interface SlotTable {
  get(slot: number): SlotReplica;
  /** Puts a replica in place that a transition of the protocol has made. */
  set(replica: SlotReplica): void;
  /** Puts a replica in place and hands its answer on. */
  answer(answered: { replica: SlotReplica; reply: SlotReply }): SlotReply;
  /** Writes a record as the owner; returns it with its sequence. */
  write(record: RequestRecord): RequestRecord;
  find(slot: number, id: string): RequestRecord | undefined;
  forget(slot: number, id: string): void;
  /** A slot of this instance with a live backup, in another availability zone where there is one. */
  draw(random: Random): number | undefined;
  /**
   * Whether the slot's records need no second holder, because there is none to be had.
   *
   * A lone instance acts alone: where the slot map names no backup, for every request, since whoever is
   * given the slot without its records refuses keys that it doesn't know; and where the map names one but
   * no other member lives, for what may be repeated only, since the backup may be alive on the other side
   * of a partition and would run the same key again.
   */
  actsAlone(replica: SlotReplica, repeatable: boolean): boolean;
  /** Whether the backup that the map names can be asked. */
  hasLiveBackup(replica: SlotReplica): boolean;
  all(): readonly SlotReplica[];
  onChange(listener: (change: SlotChange) => void): Subscription;
  close(): void;
}

/** Makes the table; it follows the slot map until it is closed. */
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
 * A slot before the map's first write, at an instance that knows no other: it may run what nobody else can
 * know of, which are requests whose ids it has drawn itself. Epoch 0 yields to every map that is written.
 */
function provisionalOwner(replica: SlotReplica): SlotReplica {
  if (replica.assignment.epoch > 0 || replica.stance === Stance.Primary) return replica;
  const assignment = { ...replica.assignment, primary: replica.self };
  return { ...replica, assignment, stance: Stance.Primary };
}

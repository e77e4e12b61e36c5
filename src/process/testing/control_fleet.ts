import { createSeededRandom } from "../../interface/index.ts";
import type { Member } from "../../interface/index.ts";
import {
  createFreezer,
  createMemoryNetwork,
  createMemoryStore,
  createVirtualClock,
} from "../../standin/memory/index.ts";
import type {
  Freezer,
  MemoryNetwork,
  MemoryStore,
  VirtualClock,
} from "../../standin/memory/index.ts";
import { REVISION_KEY, SLOT_MAP_KEY } from "../../version/index.ts";
import { createControl } from "../control.ts";
import type { Control } from "../control.ts";

/** One entry instance's control tasks over fakes. */
export interface ControlNode extends Control {
  readonly self: Member;
  readonly freezer: Freezer;
  readonly counts: ReadonlyMap<string, number>;
  /** Slots and members that the task asked to have records copied to. */
  readonly copies: readonly { readonly slots: readonly number[]; readonly member: string }[];
  /** Goes without a word: answers nothing any more. */
  kill(): void;
}

/** A few instances' control tasks with the fakes that they run on. */
export interface ControlFleet {
  readonly clock: VirtualClock;
  readonly network: MemoryNetwork;
  readonly store: MemoryStore;
  readonly nodes: readonly ControlNode[];
  /** Adds an instance and starts it, without waiting for it to know a revision. */
  add(name: string, options: { zone: string; incarnation?: number }): ControlNode;
  /** Version of the revision that an instance has in force; 0 for none. */
  versionAt(node: ControlNode): number;
  close(): void;
}

/** What a fleet for tests is made with. */
export interface FleetOptions {
  readonly count: number;
  readonly zones: number;
  /** The store's value of the first revision; none is written where it is absent. */
  readonly revision?: string;
  /** Said of each copy; true unless given. */
  readonly copyTo?: () => Promise<boolean>;
  readonly seed?: number;
}

/** Starts instances `e0`, `e1`, … in zones `z0`, `z1`, … on a virtual clock. */
export async function startControlFleet(options: FleetOptions): Promise<ControlFleet> {
  const clock = createVirtualClock();
  const network = createMemoryNetwork(clock);
  const store = createMemoryStore(clock);
  const nodes: ControlNode[] = [];
  const seeds = ["a0", "a1"];
  const add: ControlFleet["add"] = (name, { zone, incarnation = 1 }) => {
    const address = `a${name.slice(1)}`;
    const self = { id: `${name}#${incarnation}`, address, callerAddress: address, zone };
    const counts = new Map<string, number>();
    const copies: { slots: readonly number[]; member: string }[] = [];
    const freezer = createFreezer(clock);
    const copyTo = async (slots: readonly number[], member: Member): Promise<boolean> => {
      copies.push({ slots, member: member.id });
      return (await options.copyTo?.()) ?? true;
    };
    const control = createControl({
      self,
      seeds,
      clock: freezer.clock,
      random: createSeededRandom((options.seed ?? 1) * 1_000 + nodes.length),
      store: store.connect(() => freezer.gate()),
      peers: network.peersOf(self.id),
      requests: () => ({ copyTo }),
      count: (counted) => counts.set(counted, (counts.get(counted) ?? 0) + 1),
    });
    network.join(self, handlersOf(control), () => freezer.gate());
    const kill = (): void => {
      network.kill(self.id);
      control.close();
    };
    const node = { ...control, self, freezer, counts, copies, kill };
    nodes.push(node);
    void control.start();
    return node;
  };
  if (options.revision !== undefined) {
    const written = store.connect().put(REVISION_KEY, options.revision, { expect: 0 });
    await clock.advance(10);
    await written;
  }
  for (let index = 0; index < options.count; index++) {
    add(`e${index}`, { zone: `z${index % options.zones}` });
  }
  return {
    clock,
    network,
    store,
    nodes,
    add,
    versionAt: (node) => node.configuration.revision()?.version ?? 0,
    close: () => {
      for (const node of nodes) node.close();
    },
  };
}

function handlersOf(control: Control): Parameters<MemoryNetwork["join"]>[1] {
  const unused = (): never => {
    throw new Error("Only control messages pass here.");
  };
  return { ...control.handlers, replicate: unused, cede: unused, relay: unused, ask: unused };
}

/** Writes an object with the fleet's store, as an operator's command does, and returns its version. */
export async function writeObject(
  fleet: ControlFleet,
  { key, value }: { key: string; value: string },
): Promise<number> {
  const store = fleet.store.connect();
  const writing = store
    .get(key)
    .then((read) =>
      store.put(key, value, { expect: read.kind === "found" ? read.object.version : 0 }),
    );
  await fleet.clock.advance(10);
  const outcome = await writing;
  return outcome.kind === "written" ? outcome.version : 0;
}

/** The slot map as the store holds it, or undefined. */
export async function storedSlotMap(fleet: ControlFleet): Promise<string | undefined> {
  const reading = fleet.store.connect().get(SLOT_MAP_KEY);
  await fleet.clock.advance(10);
  const read = await reading;
  return read.kind === "found" ? read.object.value : undefined;
}

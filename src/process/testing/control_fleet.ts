import { createSeededRandom } from "../../interface/index.ts";
import type { Member } from "../../interface/index.ts";
import {
  createPauseControl,
  createMemoryNetwork,
  createMemoryStore,
  createVirtualClock,
} from "../../standin/memory/index.ts";
import type {
  PauseControl,
  MemoryNetwork,
  MemoryStore,
  VirtualClock,
} from "../../standin/memory/index.ts";
import { REVISION_KEY, SLOT_MAP_KEY } from "../../version/index.ts";
import { createControl } from "../control.ts";
import type { Control } from "../control.ts";

/** The control tasks of one entry instance, with fake dependencies. */
export interface ControlNode extends Control {
  readonly self: Member;
  readonly pauseControl: PauseControl;
  /** Counter values by name. */
  readonly counts: ReadonlyMap<string, number>;
  /** Requested copies of request records: the slots and the target member. */
  readonly copies: readonly { readonly slots: readonly number[]; readonly member: string }[];
  /** Stops the instance without notice: it answers no further messages. */
  kill(): void;
}

/** The control tasks of several instances with their shared fakes. */
export interface ControlFleet {
  readonly clock: VirtualClock;
  readonly network: MemoryNetwork;
  readonly store: MemoryStore;
  readonly nodes: readonly ControlNode[];
  /** Adds an instance and starts it, without waiting for it to receive a revision. */
  add(name: string, options: { zone: string; incarnation?: number }): ControlNode;
  /** Version of an instance's active revision; 0 if there is none. */
  versionAt(node: ControlNode): number;
  close(): void;
}

/** Options of {@linkcode startControlFleet}. */
export interface ControlFleetOptions {
  /** Number of instances. */
  readonly count: number;
  /** Number of availability zones. */
  readonly zones: number;
  /** Initial value of the revision in the store. No revision is written if absent. */
  readonly revision?: string;
  /** Result of each copy; defaults to true. */
  readonly copyTo?: () => Promise<boolean>;
  /** Seed of the instances' random numbers; defaults to 1. */
  readonly seed?: number;
}

/** Starts instances `e0`, `e1`, … in zones `z0`, `z1`, … on a virtual clock. */
export async function startControlFleet(options: ControlFleetOptions): Promise<ControlFleet> {
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
    const pauseControl = createPauseControl(clock);
    const copyTo = async (slots: readonly number[], member: Member): Promise<boolean> => {
      copies.push({ slots, member: member.id });
      return (await options.copyTo?.()) ?? true;
    };
    const control = createControl({
      self,
      seeds,
      clock: pauseControl.clock,
      random: createSeededRandom((options.seed ?? 1) * 1_000 + nodes.length),
      store: store.connect(() => pauseControl.whenRunning()),
      peers: network.peersOf(self.id),
      requests: () => ({ copyTo, isBackupReady: () => true }),
      count: (counted) => counts.set(counted, (counts.get(counted) ?? 0) + 1),
    });
    network.join(self, handlersOf(control), () => pauseControl.whenRunning());
    const kill = (): void => {
      network.kill(self.id);
      control.close();
    };
    const node = { ...control, self, pauseControl, counts, copies, kill };
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
    throw new Error("The control fleet handles only control messages.");
  };
  return { ...control.handlers, replicate: unused, cede: unused, relay: unused, ask: unused };
}

/** Writes an object to the fleet's store as an operator command does. Returns its version, or 0 if the write failed. */
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

/** Reads the slot map from the store; undefined if there is none. */
export async function storedSlotMap(fleet: ControlFleet): Promise<string | undefined> {
  const pendingRead = fleet.store.connect().get(SLOT_MAP_KEY);
  await fleet.clock.advance(10);
  const read = await pendingRead;
  return read.kind === "found" ? read.object.value : undefined;
}

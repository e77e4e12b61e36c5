import { setMaxListeners } from "node:events";
import { createSeededRandom } from "../../src/interface/index.ts";
import { createEntryCore } from "../../src/process/index.ts";
import type { EntryCore } from "../../src/process/index.ts";
import { deskWorker, NO_CLOUD } from "../../src/process/testing/core_fakes.ts";
import {
  createFreezer,
  createMemoryEngines,
  createMemoryNetwork,
  createMemoryStore,
  createVirtualClock,
} from "../../src/standin/memory/index.ts";
import type {
  Freezer,
  MemoryEngines,
  MemoryNetwork,
  MemoryStore,
  VirtualClock,
} from "../../src/standin/memory/index.ts";
import { REVISION_KEY } from "../../src/version/index.ts";
import { MINIMAL_REVISION } from "../../src/version/testing/minimal_revision.ts";
import { ZONES } from "./scenario.ts";
import type { Scenario } from "./scenario.ts";

/** More connections than callers have open to one instance at once: beyond, listeners leak. */
const GREATEST_CONNECTIONS = 100;

/** One entry instance over the fakes. */
export interface Instance {
  readonly id: string;
  readonly zone: number;
  readonly core: EntryCore;
  readonly freezer: Freezer;
  readonly gone: AbortController;
}

/** Entry instances over fakes in memory. */
export interface Fleet {
  readonly clock: VirtualClock;
  readonly store: MemoryStore;
  readonly engines: MemoryEngines;
  readonly network: MemoryNetwork;
  readonly instances: readonly Instance[];
  /** Takes an instance away. */
  kill(index: number): void;
  close(): void;
}

/** Milliseconds in which a new fleet finds its members and assigns its slots. */
const FORMING = 8_000;

/** Starts the instances of a scenario and lets them form a fleet. */
export async function startFleet({ seed, instances, workers }: Scenario): Promise<Fleet> {
  const clock = createVirtualClock();
  const store = createMemoryStore(clock);
  const engines = createMemoryEngines(clock);
  const network = createMemoryNetwork(clock);
  const written = store.connect().put(REVISION_KEY, MINIMAL_REVISION, { expect: 0 });
  await clock.advance(10);
  await written;
  const list = Array.from({ length: workers }, (_, index) => deskWorker(`w${index}`));
  const start = (index: number): Instance => {
    const address = `a${index}`;
    const zone = index % ZONES;
    const self = { id: `e${index}#1`, address, callerAddress: address, zone: `z${zone}` };
    const freezer = createFreezer(clock);
    const gate = (): Promise<void> => freezer.gate();
    const core = createEntryCore(
      { self, region: "test", seeds: ["a0", "a1"] },
      {
        clock: freezer.clock,
        random: createSeededRandom(seed * 100 + index),
        store: store.connect(gate),
        engine: engines.connect(gate),
        instances: { workers: () => Promise.resolve(list) },
        cloud: NO_CLOUD,
        peers: network.peersOf(self.id),
      },
    );
    network.join(self, core.handlers, gate);
    void core.start();
    const gone = new AbortController();
    setMaxListeners(GREATEST_CONNECTIONS, gone.signal);
    return { id: self.id, zone, core, freezer, gone };
  };
  const all = Array.from({ length: instances }, (_, index) => start(index));
  await clock.advance(FORMING);
  return {
    clock,
    store,
    engines,
    network,
    instances: all,
    kill: (index) => {
      const instance = all[index];
      if (instance === undefined || instance.gone.signal.aborted) return;
      network.kill(instance.id);
      instance.freezer.freeze();
      instance.core.close();
      instance.gone.abort(new Error("The instance has gone."));
    },
    close: () => {
      for (const { core } of all) core.close();
    },
  };
}

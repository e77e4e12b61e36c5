import { setMaxListeners } from "node:events";
import { createSeededRandom } from "../../src/interface/index.ts";
import { createEntryCore } from "../../src/process/index.ts";
import type { EntryCore } from "../../src/process/index.ts";
import { deskWorker, NO_CLOUD } from "../../src/process/testing/core_fakes.ts";
import {
  createPauseControl,
  createMemoryEngines,
  createMemoryNetwork,
  createMemoryStore,
  createVirtualClock,
} from "../../src/standin/memory/index.ts";
import type {
  PauseControl,
  MemoryEngines,
  MemoryNetwork,
  MemoryStore,
  VirtualClock,
} from "../../src/standin/memory/index.ts";
import { REVISION_KEY } from "../../src/version/index.ts";
import { MINIMAL_REVISION } from "../../src/version/testing/minimal_revision.ts";
import { ZONES } from "./scenario.ts";
import type { Scenario } from "./scenario.ts";

/** Exceeds the number of connections that callers open to one instance at once; more listeners indicate a leak. */
const MAX_LISTENERS = 100;

/** One entry instance with in-memory fakes of its environment. */
export interface Instance {
  readonly id: string;
  /** Index of the availability zone. */
  readonly zone: number;
  readonly core: EntryCore;
  /** Freezes the instance, like a paused process. */
  readonly pauseControl: PauseControl;
  /** Aborted when the instance is killed. */
  readonly termination: AbortController;
}

/** Entry instances with a shared in-memory clock, store, network and backend servers. */
export interface Fleet {
  readonly clock: VirtualClock;
  readonly store: MemoryStore;
  readonly engines: MemoryEngines;
  readonly network: MemoryNetwork;
  readonly instances: readonly Instance[];
  /** Kills an instance; does nothing if it was already killed. */
  kill(index: number): void;
  /** Closes all instances. */
  close(): void;
}

/** Time in which a new fleet finds its members and assigns its slots, in milliseconds. */
const FORMATION_TIME = 8_000;

/** Starts the instances of a scenario and waits until they have formed a fleet. */
export async function startFleet({ seed, instances, workers }: Scenario): Promise<Fleet> {
  const clock = createVirtualClock();
  const store = createMemoryStore(clock);
  const engines = createMemoryEngines(clock);
  const network = createMemoryNetwork(clock);
  const write = store.connect().put(REVISION_KEY, MINIMAL_REVISION, { expect: 0 });
  await clock.advance(10);
  await write;
  const workerList = Array.from({ length: workers }, (_, index) => deskWorker(`w${index}`));
  const start = (index: number): Instance => {
    const address = `a${index}`;
    const zone = index % ZONES;
    const self = { id: `e${index}#1`, address, callerAddress: address, zone: `z${zone}` };
    const pauseControl = createPauseControl(clock);
    const gate = (): Promise<void> => pauseControl.whenRunning();
    const core = createEntryCore(
      { self, region: "test", seeds: ["a0", "a1"] },
      {
        clock: pauseControl.clock,
        random: createSeededRandom(seed * 100 + index),
        store: store.connect(gate),
        engine: engines.connect(gate),
        instances: { workers: () => Promise.resolve(workerList) },
        cloud: NO_CLOUD,
        peers: network.peersOf(self.id),
      },
    );
    network.join(self, core.handlers, gate);
    void core.start();
    const termination = new AbortController();
    setMaxListeners(MAX_LISTENERS, termination.signal);
    return { id: self.id, zone, core, pauseControl, termination };
  };
  const all = Array.from({ length: instances }, (_, index) => start(index));
  await clock.advance(FORMATION_TIME);
  return {
    clock,
    store,
    engines,
    network,
    instances: all,
    kill: (index) => {
      const instance = all[index];
      if (instance === undefined || instance.termination.signal.aborted) return;
      network.kill(instance.id);
      instance.pauseControl.pause();
      instance.core.close();
      instance.termination.abort(new Error("the instance was killed"));
    },
    close: () => {
      for (const { core } of all) core.close();
    },
  };
}

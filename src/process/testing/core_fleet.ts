import { createSeededRandom } from "../../interface/index.ts";
import type { Submission } from "../../request/index.ts";
import {
  createMemoryEngines,
  createMemoryNetwork,
  createMemoryStore,
  createVirtualClock,
} from "../../standin/memory/index.ts";
import type { MemoryEngines, MemoryStore, VirtualClock } from "../../standin/memory/index.ts";
import { REVISION_KEY } from "../../version/index.ts";
import { createEntryCore } from "../entry_core.ts";
import type { EntryCore } from "../entry_core.ts";
import { MINIMAL_REVISION } from "../../version/testing/minimal_revision.ts";
import { deskWorker, NO_CLOUD } from "./core_fakes.ts";

/** Response that a caller of a {@linkcode CoreFleet} has received so far. */
export interface Answer {
  readonly text: string;
  /**
   * State of the request at its end, or the reason of a rejection; empty while the request runs.
   */
  readonly end: string;
}

/** Complete entry instances on in-memory fakes of their environment. */
export interface CoreFleet {
  readonly clock: VirtualClock;
  readonly store: MemoryStore;
  readonly engines: MemoryEngines;
  core(index: number): EntryCore;
  /** Writes a new revision to the store. */
  writeRevision(revision: string): Promise<void>;
  /** Starts one more instance, in an availability zone of its own, and waits until it has joined. */
  join(): Promise<void>;
  /** Starts a successor of an instance that has ended, with the same name and address. */
  restart(index: number): void;
  /** Ends an instance without notice. */
  kill(index: number): void;
  submit(index: number, submission?: Partial<Submission>): Answer;
  close(): void;
}

/** Milliseconds in which a new fleet finds its members and assigns its slots. */
const FORMING_TIME = 8_000;

/** Starts entry instances, each in its own availability zone, and waits until they form a fleet. */
export async function startCoreFleet(count = 3): Promise<CoreFleet> {
  const clock = createVirtualClock();
  const store = createMemoryStore(clock);
  const engines = createMemoryEngines(clock);
  const network = createMemoryNetwork(clock);
  const written = store.connect().put(REVISION_KEY, MINIMAL_REVISION, { expect: 0 });
  await clock.advance(10);
  await written;
  const cores: EntryCore[] = [];
  let restarts = 0;
  const startCore = (index: number, incarnation: number): void => {
    const address = `a${index}`;
    const id = `e${index}#${incarnation}`;
    const self = { id, address, callerAddress: address, zone: `z${index}` };
    const core = createEntryCore(
      { self, region: "test", seeds: ["a0", "a1"] },
      {
        clock,
        random: createSeededRandom(index + 1),
        store: store.connect(),
        engine: engines.connect(),
        instances: { workers: () => Promise.resolve([deskWorker("w1"), deskWorker("w2")]) },
        cloud: NO_CLOUD,
        peers: network.peersOf(self.id),
      },
    );
    network.join(self, core.handlers);
    void core.start();
    cores[index] = core;
  };
  for (let index = 0; index < count; index++) startCore(index, 1);
  await clock.advance(FORMING_TIME);
  const coreAt = (index: number): EntryCore => {
    const core = cores[index];
    if (core === undefined) throw new Error(`The fleet has no instance ${index}.`);
    return core;
  };
  return {
    clock,
    store,
    engines,
    core: coreAt,
    writeRevision: async (revision) => {
      const writing = store.connect().put(REVISION_KEY, revision, { expect: 1 });
      await clock.advance(10);
      await writing;
    },
    join: async () => {
      startCore(cores.length, 1);
      await clock.advance(FORMING_TIME);
    },
    restart: (index) => startCore(index, ++restarts + 1),
    kill: (index) => {
      network.kill(coreAt(index).members.self.id);
      coreAt(index).close();
    },
    submit: (index, submission = {}) =>
      answerOf(
        coreAt(index).requests.submit(
          { ...SUBMISSION, ...submission },
          new AbortController().signal,
        ),
      ),
    close: () => {
      for (const core of cores) core.close();
    },
  };
}

const SUBMISSION: Submission = {
  account: "club",
  service: "desk",
  model: "",
  path: "/v1/chat/completions",
  body: '{"max_tokens":8}',
  detached: false,
  deadline: 600_000,
  fromToken: 0,
};

function answerOf(events: ReturnType<EntryCore["requests"]["submit"]>): Answer {
  const answer = { text: "", end: "" };
  const read = async (): Promise<void> => {
    for await (const event of events) {
      if (event.kind === "token") answer.text += event.text;
      if (event.kind === "ended") answer.end = event.record.state;
      if (event.kind === "rejected") answer.end = event.rejection.reason;
    }
  };
  void read();
  return answer;
}

import { expect, test } from "vitest";
import { createSeededRandom, Purchase, WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";
import {
  createMemoryEngines,
  createMemoryNetwork,
  createMemoryStore,
  createVirtualClock,
} from "../standin/memory/index.ts";
import { REVISION_KEY } from "../version/index.ts";
import { createEntryCore } from "./entry_core.ts";
import { MINIMAL_REVISION } from "../version/testing/minimal_revision.ts";

const WORKER: Worker = {
  id: "w1",
  address: "http://127.0.0.1:1",
  service: "desk",
  zone: "a",
  machineClass: "standard",
  purchase: Purchase.Reclaimable,
  state: WorkerState.Live,
};

test("an entry instance with fake dependencies answers a request and sends each token once", async () => {
  const clock = createVirtualClock();
  const engines = createMemoryEngines(clock);
  const network = createMemoryNetwork(clock);
  const store = createMemoryStore(clock).connect();
  const written = store.put(REVISION_KEY, MINIMAL_REVISION, { expect: 0 });
  await clock.advance(10);
  await written;
  const self = { id: "e1#1", address: "1", callerAddress: "1", zone: "a" };
  const core = createEntryCore(
    { self, region: "local", seeds: [] },
    {
      clock,
      random: createSeededRandom(1),
      store,
      engine: engines.connect(),
      instances: { workers: () => Promise.resolve([WORKER]) },
      cloud: {
        launch: () => Promise.resolve({ kind: "refused", reason: "none" }),
        terminate: () => Promise.resolve(),
        notices: () => Promise.resolve([]),
      },
      peers: network.peersOf(self.id),
    },
  );
  network.join(self, core.handlers);
  const started = core.start();
  await clock.advance(100);
  await started;
  const tokens: string[] = [];
  const answered = (async () => {
    const submission = {
      account: "club",
      service: "desk",
      model: "",
      path: "/v1/chat/completions",
      body: JSON.stringify({ max_tokens: 3 }),
      detached: false,
      fromToken: 0,
    };
    for await (const event of core.requests.submit(submission, new AbortController().signal)) {
      if (event.kind === "token") tokens.push(event.text);
    }
  })();
  await clock.advance(1_000);
  await answered;
  core.close();
  expect(tokens).toEqual(["t0 ", "t1 ", "t2 "]);
  expect(engines.runs).toHaveLength(1);
});

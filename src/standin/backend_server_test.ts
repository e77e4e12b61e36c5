import { expect, test } from "vitest";
import { createHttpEngine } from "../connection/index.ts";
import { Purchase, WorkerState } from "../interface/index.ts";
import type { Dispatch, EngineEvent, Worker } from "../interface/index.ts";
import { startBackend } from "./backend_server.ts";
import type { BackendListener } from "./backend_server.ts";
import { createVirtualClock } from "./memory/index.ts";

const NEVER = new AbortController().signal;

function workerAt(address: string): Worker {
  return {
    id: "desk-0",
    address: `http://${address}`,
    service: "desk",
    zone: "sofia-a",
    machineClass: "standard",
    purchase: Purchase.Reclaimable,
    state: WorkerState.Live,
  };
}

const DISPATCH: Dispatch = {
  id: "r1",
  attempt: 1,
  service: "desk",
  path: "/v1/chat/completions",
  body: JSON.stringify({ messages: [{ content: "Chip 9?" }], max_completion_tokens: 3 }),
  tokens: [],
  priority: 0,
  timeLeft: 1_000,
};

async function withBackend(
  checksFence: boolean,
  use: (
    engine: ReturnType<typeof createHttpEngine>,
    worker: Worker,
    backend: BackendListener,
  ) => Promise<void>,
): Promise<void> {
  const clock = createVirtualClock();
  const backend = await startBackend({ listen: "127.0.0.1:0", clock, tokenTime: 0, checksFence });
  const engine = createHttpEngine();
  await use(engine, workerAt(backend.address), backend);
  engine.close();
  await backend.close();
}

async function collect(events: AsyncIterable<EngineEvent>): Promise<EngineEvent[]> {
  const all: EngineEvent[] = [];
  for await (const event of events) all.push(event);
  return all;
}

test("the stand-in speaks the protocol of the engine client: run, attach, ask, report", async () => {
  await withBackend(false, async (engine, worker) => {
    const ran = await collect(engine.run(worker, DISPATCH, NEVER));
    const texts = ran.flatMap((event) => (event.kind === "token" ? [event.text] : []));
    expect(texts).toEqual([" word0", " word1", " word2"]);
    expect(ran.at(-1)).toEqual({ kind: "finished", reason: "stop" });
    const joined = await collect(engine.attach(worker, "r1", { fromToken: 2, signal: NEVER }));
    expect(joined.filter(({ kind }) => kind === "token")).toHaveLength(1);
    expect(await engine.ask(worker, "r1", { bar: false })).toBe("finished");
    expect(await engine.report(worker)).toMatchObject({ running: 0, waiting: 0 });
  });
});

test("a plain service answers with what it was sent, and a duplicate isn't run again", async () => {
  await withBackend(false, async (engine, worker) => {
    const plain = { ...DISPATCH, path: "/bookings", body: "seat 4" };
    const answers = [
      await collect(engine.run(worker, plain, NEVER)),
      await collect(engine.run(worker, plain, NEVER)),
    ];
    const body = JSON.stringify({ service: "desk", path: "/bookings", echo: "seat 4", run: 1 });
    for (const answer of answers) {
      expect(answer).toEqual([{ kind: "finished", reason: "stop", body }]);
    }
  });
});

test("a plain service's ordinary HTTP call is answered once for each request id", async () => {
  // The answer of a booking is lost and the call is made again with the same id: run twice, a cinema would
  // have two bookings for one slot.
  await withBackend(false, async (engine, worker) => {
    const booking = { ...DISPATCH, path: "POST /bookings", body: "seat 4" };
    const first = await collect(engine.run(worker, booking, NEVER));
    const second = await collect(engine.run(worker, booking, NEVER));
    const other = await collect(engine.run(worker, { ...booking, id: "r2" }, NEVER));
    const runOf = (events: EngineEvent[]): unknown => {
      const end = events.at(-1);
      const outer = JSON.parse(end?.kind === "finished" ? (end.body ?? "") : "{}") as {
        body: string;
      };
      return (JSON.parse(outer.body) as { run: number }).run;
    };
    expect([first, second, other].map(runOf)).toEqual([1, 1, 2]);
  });
});

test("a server that checks refuses an order with an older fencing number", async () => {
  // The holder of a lease is paused, another takes over and gives an order, and the first wakes up and
  // gives its own. Obeyed, the worker would drop the model that the service now needs.
  await withBackend(true, async (engine, worker, backend) => {
    await engine.order(worker, { fence: 5, models: ["new"], role: "serve" });
    const late = engine.order(worker, { fence: 4, models: ["old"], role: "serve" });
    await expect(late).rejects.toMatchObject({ step: "order", peer: "desk-0" });
    expect(backend.order().models).toEqual(["new"]);
  });
});

test("a server that doesn't check obeys whoever orders last", async () => {
  await withBackend(false, async (engine, worker, backend) => {
    await engine.order(worker, { fence: 5, models: ["new"], role: "serve" });
    await engine.order(worker, { fence: 4, models: ["old"], role: "serve" });
    expect(backend.order().models).toEqual(["old"]);
  });
});

test("a body that is no dispatch is answered with status 400", async () => {
  await withBackend(false, async (engine, worker) => {
    const broken = { ...DISPATCH, id: 7 } as unknown as Dispatch;
    expect(await collect(engine.run(worker, broken, NEVER))).toMatchObject([
      { kind: "status", status: 400 },
    ]);
  });
});

import { expect, test } from "vitest";
import { RequestState } from "../interface/index.ts";
import type { RelayEvent } from "../interface/index.ts";
import { answerOf, createRequestFleet, endOf } from "./testing/request_fleet.ts";
import type { RequestFleet } from "./testing/request_fleet.ts";

async function startedFleet(): Promise<RequestFleet> {
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  return fleet;
}

test.each([
  ["before headers", 15],
  ["in mid-stream", 90],
])("a connection to a server silent for good %s is replaced by a new one", async (_, at) => {
  // Something between the instance and the server has lost track of the open connection; new ones work. The
  // caller would wait until its deadline for an answer that the server has long finished.
  const fleet = await startedFleet();
  const caller = fleet.submit(0);
  await fleet.clock.advance(at);
  fleet.engines.silence("w1");
  await fleet.clock.advance(40_000);
  expect(caller.text).toBe(answerOf());
  expect(endOf(caller)?.state).toBe(RequestState.Complete);
  expect(fleet.engines.runs).toHaveLength(1);
  expect(fleet.node(0).counts.get("retried.silent-connection")).toBeGreaterThan(0);
  fleet.close();
});

test("a path between instances silent for good is replaced by a new stream", async () => {
  // The caller's instance and the owner are connected by a stream that nothing comes through any more.
  const fleet = await startedFleet();
  const caller = fleet.submit(2, { key: "k", body: '{"max_tokens":20}' });
  await fleet.clock.advance(100);
  fleet.network.silence("e2#1", "e0#1");
  await fleet.clock.advance(10_000);
  expect(caller.text).toBe(answerOf(20));
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a stream that is resumed twice gives each reader what it lacks, once", async () => {
  // A secretary's browser loses its connection and comes back twice with the last event it had.
  const fleet = await startedFleet();
  const caller = fleet.submit(0, { body: '{"max_tokens":20}' });
  await fleet.clock.advance(150);
  caller.leave();
  const first = fleet.follow(1, caller.id, 3);
  const second = fleet.follow(2, caller.id, 5);
  await fleet.clock.advance(3_000);
  expect(`t0 t1 t2 ${first.text}`).toBe(answerOf(20));
  expect(`t0 t1 t2 t3 t4 ${second.text}`).toBe(answerOf(20));
  fleet.close();
});

test("an owner that dies without notice loses no token and repeats none", async () => {
  // The process of the owner ends in mid-answer. The caller is connected elsewhere and must not notice.
  const fleet = await startedFleet();
  const caller = fleet.submit(2, { key: "k", body: '{"max_tokens":50}' });
  await fleet.clock.advance(300);
  fleet.kill(0);
  await fleet.clock.advance(1_000);
  fleet.assign(1, 2);
  await fleet.clock.advance(8_000);
  expect(caller.text).toBe(answerOf(50));
  expect(endOf(caller)?.state).toBe(RequestState.Complete);
  fleet.close();
});

test("callers whose requests run side by side each get their own", async () => {
  const fleet = await startedFleet();
  const callers = [1, 2, 3, 4, 5].map((tokens) =>
    fleet.submit(tokens % 3, { key: `k${tokens}`, body: `{"max_tokens":${tokens}}` }),
  );
  await fleet.clock.advance(2_000);
  expect(callers.map((caller) => caller.text)).toEqual([1, 2, 3, 4, 5].map(answerOf));
  fleet.close();
});

test("a server that is overtaken by another attempt can't add to the answer", async () => {
  // The first server stalls; the request goes on at a second; then the first one wakes up and sends its
  // tokens late. The caller would see them in the middle of the second one's.
  const fleet = await startedFleet();
  const caller = fleet.submit(0, { body: '{"max_tokens":20}' });
  await fleet.clock.advance(100);
  fleet.engines.slow("w1", 1_000);
  await fleet.clock.advance(30_000);
  expect(caller.text).toBe(answerOf(20));
  await fleet.clock.advance(60_000);
  expect(caller.text).toBe(answerOf(20));
  expect(fleet.engines.runs.map((run) => run.worker)).toEqual(["w1", "w2"]);
  fleet.close();
});

test("tokens that come twice or crossed between instances are told once and in order", async () => {
  // A stream between instances was opened anew and repeats its beginning while the old one's last tokens
  // still come. The caller would read words twice.
  const fleet = await startedFleet();
  const { member, requests } = fleet.node(0);
  fleet.network.join(member, {
    ...requests.handlers,
    probe: () => Promise.reject(new Error("No control.")),
    pull: () => undefined,
    relay: async function* (message, signal) {
      let last: RelayEvent | undefined;
      for await (const event of requests.handlers.relay(message, signal)) {
        yield event;
        if (last?.kind === "token") yield last;
        if (event.kind === "token") yield event;
        last = event;
      }
    },
  });
  const caller = fleet.submit(2, { key: "k" });
  await fleet.clock.advance(2_000);
  expect(caller.text).toBe(answerOf());
  expect(caller.events.filter((event) => event.kind === "accepted")).toHaveLength(1);
  fleet.close();
});

import { expect, test } from "vitest";
import { RequestState } from "../interface/index.ts";
import type { RelayEvent } from "../interface/index.ts";
import { expectedAnswer, createRequestFleet, endedRecord } from "./testing/request_fleet.ts";
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
])(
  "a connection to a server that stops delivering data %s is replaced by a new one",
  async (_, at) => {
    // A device between the instance and the server has lost the state of an open connection, while
    // new connections work. The caller would wait until its deadline for an answer that the server
    // has long completed.
    const fleet = await startedFleet();
    const caller = fleet.submit(0);
    await fleet.clock.advance(at);
    fleet.engines.hangOpenConnections("w1");
    await fleet.clock.advance(40_000);
    expect(caller.text).toBe(expectedAnswer());
    expect(endedRecord(caller)?.state).toBe(RequestState.Complete);
    expect(fleet.engines.runs).toHaveLength(1);
    expect(fleet.node(0).counts.get("retried.silent-connection")).toBeGreaterThan(0);
    fleet.close();
  },
);

test("a stream between instances that stops delivering data is replaced by a new one", async () => {
  // The stream between the caller's instance and the owner stops delivering data permanently.
  const fleet = await startedFleet();
  const caller = fleet.submit(2, { key: "k", body: '{"max_tokens":20}' });
  await fleet.clock.advance(100);
  fleet.network.hangOpenConnections("e2#1", "e0#1");
  await fleet.clock.advance(10_000);
  expect(caller.text).toBe(expectedAnswer(20));
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a stream that is resumed twice gives each reader the missing tokens once", async () => {
  // A client loses its connection and returns twice with the id of the last event that it received.
  const fleet = await startedFleet();
  const caller = fleet.submit(0, { body: '{"max_tokens":20}' });
  await fleet.clock.advance(150);
  caller.disconnect();
  const first = fleet.follow(1, caller.id, 3);
  const second = fleet.follow(2, caller.id, 5);
  await fleet.clock.advance(3_000);
  expect(`t0 t1 t2 ${first.text}`).toBe(expectedAnswer(20));
  expect(`t0 t1 t2 t3 t4 ${second.text}`).toBe(expectedAnswer(20));
  fleet.close();
});

test("no token is lost or repeated if the owner dies without notice", async () => {
  // The owner's process ends while it answers. The caller is connected to another instance, and its
  // answer must continue there.
  const fleet = await startedFleet();
  const caller = fleet.submit(2, { key: "k", body: '{"max_tokens":50}' });
  await fleet.clock.advance(300);
  fleet.kill(0);
  await fleet.clock.advance(1_000);
  fleet.assign(1, 2);
  await fleet.clock.advance(8_000);
  expect(caller.text).toBe(expectedAnswer(50));
  expect(endedRecord(caller)?.state).toBe(RequestState.Complete);
  fleet.close();
});

test("callers with concurrent requests each receive their own answer", async () => {
  const fleet = await startedFleet();
  const callers = [1, 2, 3, 4, 5].map((tokens) =>
    fleet.submit(tokens % 3, { key: `k${tokens}`, body: `{"max_tokens":${tokens}}` }),
  );
  await fleet.clock.advance(2_000);
  expect(callers.map((caller) => caller.text)).toEqual([1, 2, 3, 4, 5].map(expectedAnswer));
  fleet.close();
});

test("a server that was replaced by another attempt can't add tokens to the answer", async () => {
  // The first server stalls, and the request continues at a second one. Then the first one sends
  // its tokens late. They must not appear among those of the second server.
  const fleet = await startedFleet();
  const caller = fleet.submit(0, { body: '{"max_tokens":20}' });
  await fleet.clock.advance(100);
  fleet.engines.setSlowdown("w1", 1_000);
  await fleet.clock.advance(30_000);
  expect(caller.text).toBe(expectedAnswer(20));
  await fleet.clock.advance(60_000);
  expect(caller.text).toBe(expectedAnswer(20));
  expect(fleet.engines.runs.map((run) => run.worker)).toEqual(["w1", "w2"]);
  fleet.close();
});

test("tokens that arrive twice or out of order between instances are delivered once and in order", async () => {
  // A stream between instances was reopened and repeats its beginning, while the last tokens of the
  // old stream still arrive. The caller would receive words twice.
  const fleet = await startedFleet();
  const { member, requests } = fleet.node(0);
  fleet.network.join(member, {
    ...requests.handlers,
    probe: () => Promise.reject(new Error("The fleet has no control tasks.")),
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
  expect(caller.text).toBe(expectedAnswer());
  expect(caller.events.filter((event) => event.kind === "accepted")).toHaveLength(1);
  fleet.close();
});

import { expect, test } from "vitest";
import { MemberState, RequestState, WorkerState } from "../interface/index.ts";
import {
  expectedAnswer,
  createRequestFleet,
  endedRecord,
  createTestWorker,
} from "./testing/request_fleet.ts";
import type { RequestFleet } from "./testing/request_fleet.ts";

async function startedFleet(): Promise<RequestFleet> {
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  return fleet;
}

async function reclaim(fleet: RequestFleet, instances: readonly number[]): Promise<void> {
  for (const index of instances) fleet.setState(index, MemberState.Leaving);
  const handovers = instances.map((index) => fleet.node(index).requests.handOverAll());
  await fleet.clock.advance(1_500);
  await Promise.all(handovers);
}

test("an answer continues at another worker after the tokens that the caller has", async () => {
  // A backend server is reclaimed while it answers. Without a resume, the caller would see the
  // answer restart or break off.
  const fleet = await startedFleet();
  const caller = fleet.submit(0);
  await fleet.clock.advance(100);
  const tokensBefore = caller.text.split(" ").length - 1;
  expect(tokensBefore).toBeGreaterThan(0);
  fleet.engines.kill(fleet.engines.runs[0]?.worker ?? "");
  await fleet.clock.advance(2_000);
  expect(caller.text).toBe(expectedAnswer());
  expect(endedRecord(caller)?.state).toBe(RequestState.Complete);
  expect(fleet.engines.runs).toHaveLength(2);
  expect(fleet.engines.runs[1]?.resumedFrom).toBe(tokensBefore);
  expect(fleet.node(0).counts.get("recomputed.worker-lost")).toBe(tokensBefore);
  fleet.close();
});

test("a caller connected to the reclaimed owner receives the rest of the answer through it", async () => {
  // A reclaimed owner has a few seconds left. It hands its slots over at once and forwards the new
  // owner's answers, so its callers see no interruption while it still runs.
  const fleet = await startedFleet();
  const caller = fleet.submit(0);
  await fleet.clock.advance(60);
  fleet.setState(0, MemberState.Leaving);
  const handovers = fleet.node(0).requests.handOverAll();
  await fleet.clock.advance(1_000);
  await handovers;
  expect(caller.text).toBe(expectedAnswer());
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a third instance keeps the records if primary and backup are reclaimed while the store is down", async () => {
  // Two zones are reclaimed at once while the slot map can't be written. A third instance takes the
  // records into custody. Once the store is available again, the slot's new owner must receive them
  // and the request must finish.
  const fleet = await startedFleet();
  const caller = fleet.submit(2, { key: "reel", body: '{"max_tokens":200}' });
  await fleet.clock.advance(200);
  const before = caller.text.length;
  expect(before).toBeGreaterThan(0);
  await reclaim(fleet, [0, 1]);
  fleet.kill(0);
  fleet.kill(1);
  await fleet.clock.advance(1_000);
  fleet.assign(2, -1, { historyLost: true });
  await fleet.clock.advance(10_000);
  const follower = fleet.follow(2, caller.id);
  await fleet.clock.advance(1_000);
  expect(follower.text).toBe(expectedAnswer(200));
  expect(caller.text).toBe(expectedAnswer(200));
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a custodian forwards the records to the new owner in the slot map", async () => {
  // Owner and backup are reclaimed together and send the records to one instance, but the slot map
  // then names another one. Without forwarding, the request would be lost.
  const fleet = createRequestFleet(4);
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  const caller = fleet.submit(0, { detached: true, key: "reel", body: '{"max_tokens":100}' });
  await fleet.clock.advance(100);
  await reclaim(fleet, [0, 1]);
  fleet.kill(0);
  fleet.kill(1);
  const custodians = [2, 3].filter((index) => fleet.node(index).counts.has("custody.taken"));
  expect(custodians.length).toBeGreaterThan(0);
  const custodian = custodians[0] ?? 2;
  fleet.assign(custodian === 3 ? 2 : 3, -1, { historyLost: true });
  await fleet.clock.advance(10_000);
  const follower = fleet.follow(2, caller.id);
  await fleet.clock.advance(1_000);
  expect(follower.text).toBe(expectedAnswer(100));
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a detached answer can be fetched complete after its owner was reclaimed", async () => {
  // A detached request ends, and its owner is reclaimed before the caller asks for the answer by
  // its id.
  const fleet = await startedFleet();
  const caller = fleet.submit(0, { detached: true });
  await fleet.clock.advance(50);
  caller.disconnect();
  await fleet.clock.advance(2_000);
  await reclaim(fleet, [0]);
  fleet.kill(0);
  fleet.assign(1, 2);
  await fleet.clock.advance(3_600_000);
  const found = fleet.node(2).requests.find(caller.id, "club");
  await fleet.clock.advance(1_000);
  expect(await found).toMatchObject({ state: RequestState.Complete });
  const follower = fleet.follow(2, caller.id);
  await fleet.clock.advance(1_000);
  expect(follower.text).toBe(expectedAnswer());
  fleet.close();
});

test("a request that may not be repeated continues at its server after its owner was reclaimed", async () => {
  // The owner of a billed request that is running is reclaimed. Sending the request again would
  // bill it twice, and ending it would lose it. The new owner attaches to the run.
  const fleet = await startedFleet();
  const caller = fleet.submit(2, { key: "summary", repeatable: false });
  await fleet.clock.advance(60);
  await reclaim(fleet, [0]);
  fleet.kill(0);
  fleet.assign(1, 2);
  await fleet.clock.advance(5_000);
  expect(caller.text).toBe(expectedAnswer());
  expect(endedRecord(caller)?.state).toBe(RequestState.Complete);
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a long request moves away from a server under notice before the server is reclaimed", async () => {
  // The server is reclaimed in three seconds, while the request needs another minute. If it stayed,
  // it would make no progress from the loss of the server until the loss is detected.
  const fleet = await startedFleet();
  const caller = fleet.submit(0, { body: '{"max_tokens":3000}', deadline: 600_000 });
  await fleet.clock.advance(10_000);
  const tokensBefore = caller.text.split(" ").length - 1;
  const reclaimAt = fleet.clock.now() + 3_000;
  const leaving = { ...createTestWorker("w1"), state: WorkerState.Leaving, reclaimAt };
  fleet.setWorkers([leaving, createTestWorker("w2")]);
  await fleet.clock.advance(5_000);
  fleet.engines.kill("w1");
  await fleet.clock.advance(60_000);
  expect(caller.text).toBe(expectedAnswer(3_000));
  expect(fleet.engines.runs.map(({ worker }) => worker)).toEqual(["w1", "w2"]);
  expect(fleet.engines.runs[1]?.resumedFrom).toBeGreaterThanOrEqual(tokensBefore);
  expect(fleet.engines.runs[1]?.startedAt).toBeLessThan(reclaimAt);
  expect(fleet.node(0).counts.get("retried.worker-lost")).toBeUndefined();
  fleet.close();
});

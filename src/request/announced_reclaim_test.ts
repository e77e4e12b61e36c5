import { expect, test } from "vitest";
import { MemberState, RequestState, WorkerState } from "../interface/index.ts";
import { answerOf, createRequestFleet, endOf, workerNamed } from "./testing/request_fleet.ts";
import type { RequestFleet } from "./testing/request_fleet.ts";

async function startedFleet(): Promise<RequestFleet> {
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  return fleet;
}

async function reclaim(fleet: RequestFleet, instances: readonly number[]): Promise<void> {
  for (const index of instances) fleet.setState(index, MemberState.Leaving);
  const ceded = instances.map((index) => fleet.node(index).requests.cedeAll());
  await fleet.clock.advance(1_500);
  await Promise.all(ceded);
}

test("an answer goes on at another worker from the tokens that the caller has", async () => {
  // The cloud takes a backend server in mid-answer. Without a resume the caller would see the answer begin
  // again, or break off.
  const fleet = await startedFleet();
  const caller = fleet.submit(0);
  await fleet.clock.advance(100);
  const had = caller.text.split(" ").length - 1;
  expect(had).toBeGreaterThan(0);
  fleet.engines.kill(fleet.engines.runs[0]?.worker ?? "");
  await fleet.clock.advance(2_000);
  expect(caller.text).toBe(answerOf());
  expect(endOf(caller)?.state).toBe(RequestState.Complete);
  expect(fleet.engines.runs).toHaveLength(2);
  expect(fleet.engines.runs[1]?.resumedFrom).toBe(had);
  expect(fleet.node(0).counts.get("recomputed.worker-lost")).toBe(had);
  fleet.close();
});

test("a caller who is connected to the reclaimed owner itself gets the rest through it", async () => {
  // The notice gives the instance a few seconds. It hands over at once and passes the answer of the new
  // owner on, so that its callers see no break for as long as it still runs.
  const fleet = await startedFleet();
  const caller = fleet.submit(0);
  await fleet.clock.advance(60);
  fleet.setState(0, MemberState.Leaving);
  const ceded = fleet.node(0).requests.cedeAll();
  await fleet.clock.advance(1_000);
  await ceded;
  expect(caller.text).toBe(answerOf());
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("primary and backup taken in the same wave, with the store down: a third one keeps the records", async () => {
  // A whole zone and the one next to it are taken back at once and the slot map can't be written. The
  // records go into custody; when the store is back, the slot's new owner gets them and the script ends.
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
  expect(follower.text).toBe(answerOf(200));
  expect(caller.text).toBe(answerOf(200));
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a custodian that the map doesn't name brings the records to the one it names", async () => {
  // Owner and backup go in one wave and hand the records to the fourth instance, but the survivor that
  // writes the slot map names the third. Without forwarding, the night's script would be gone.
  const fleet = createRequestFleet(4);
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  const caller = fleet.submit(0, { detached: true, key: "reel", body: '{"max_tokens":100}' });
  await fleet.clock.advance(100);
  await reclaim(fleet, [0, 1]);
  fleet.kill(0);
  fleet.kill(1);
  const keepers = [2, 3].filter((index) => fleet.node(index).counts.has("custody.taken"));
  expect(keepers.length).toBeGreaterThan(0);
  const keeper = keepers[0] ?? 2;
  fleet.assign(keeper === 3 ? 2 : 3, -1, { historyLost: true });
  await fleet.clock.advance(10_000);
  const follower = fleet.follow(2, caller.id);
  await fleet.clock.advance(1_000);
  expect(follower.text).toBe(answerOf(100));
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a detached answer can be fetched whole after its owner was taken", async () => {
  // The script was finished at night and its owner reclaimed before the morning. The traffic desk asks for
  // it by id and must find it.
  const fleet = await startedFleet();
  const caller = fleet.submit(0, { detached: true });
  await fleet.clock.advance(50);
  caller.leave();
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
  expect(follower.text).toBe(answerOf());
  fleet.close();
});

test("what may not be repeated goes on at the server that runs it after its owner was taken", async () => {
  // A billed summary is half written when its owner is reclaimed. Sending it again would bill it twice;
  // giving it up would lose it. The new owner joins the run where it is.
  const fleet = await startedFleet();
  const caller = fleet.submit(2, { key: "summary", repeatable: false });
  await fleet.clock.advance(60);
  await reclaim(fleet, [0]);
  fleet.kill(0);
  fleet.assign(1, 2);
  await fleet.clock.advance(5_000);
  expect(caller.text).toBe(answerOf());
  expect(endOf(caller)?.state).toBe(RequestState.Complete);
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a script on a server under notice goes on elsewhere before the server is taken", async () => {
  // The cloud announces that it takes the server in three seconds; the script has a minute to go. Run to the
  // end of the server, the script would stand still until its loss is noticed.
  const fleet = await startedFleet();
  const caller = fleet.submit(0, { body: '{"max_tokens":3000}', deadline: 600_000 });
  await fleet.clock.advance(10_000);
  const had = caller.text.split(" ").length - 1;
  const reclaimAt = fleet.clock.now() + 3_000;
  const leaving = { ...workerNamed("w1"), state: WorkerState.Leaving, reclaimAt };
  fleet.setWorkers([leaving, workerNamed("w2")]);
  await fleet.clock.advance(5_000);
  fleet.engines.kill("w1");
  await fleet.clock.advance(60_000);
  expect(caller.text).toBe(answerOf(3_000));
  expect(fleet.engines.runs.map(({ worker }) => worker)).toEqual(["w1", "w2"]);
  expect(fleet.engines.runs[1]?.resumedFrom).toBeGreaterThanOrEqual(had);
  expect(fleet.engines.runs[1]?.startedAt).toBeLessThan(reclaimAt);
  expect(fleet.node(0).counts.get("retried.worker-lost")).toBeUndefined();
  fleet.close();
});

import { expect, test } from "vitest";
import { Refusal, RequestState } from "../interface/index.ts";
import { expectedAnswer, createRequestFleet, createTestWorker } from "./testing/request_fleet.ts";
import type { CallerView, RequestFleet } from "./testing/request_fleet.ts";

const ENTRY = { key: "entry-17", repeatable: false };
/** Times in milliseconds after the submission. There is one between any two steps of a request. */
const FAULT_TIMES = Array.from({ length: 40 }, (_, index) => index * 1.5);

async function startedFleet(): Promise<RequestFleet> {
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  return fleet;
}

/** Checks that the events that the caller received agree with the runs at the servers. */
function expectConsistent(fleet: RequestFleet, caller: CallerView): void {
  expect(fleet.engines.runs.length).toBeLessThanOrEqual(1);
  const last = caller.events.at(-1);
  const ended = last?.kind === "ended" ? last.record.state : undefined;
  const notRun = last?.kind === "rejected" ? last.rejection.notRun : ended === RequestState.NotRun;
  if (notRun) expect(fleet.engines.runs).toHaveLength(0);
  if (ended === RequestState.Complete) expect(caller.text).toBe(expectedAnswer());
  expect(caller.isDone).toBe(true);
}

test.each(FAULT_TIMES)(
  "a request runs at most once if its owner is killed %d ms after it arrived",
  async (at) => {
    // The owner dies between accepting the request, recording the intent, sending it and its end.
    // Whatever the backup does afterwards, a second run would make the caller pay twice.
    const fleet = await startedFleet();
    const caller = fleet.submit(2, ENTRY);
    await fleet.clock.advance(at);
    fleet.kill(0);
    await fleet.clock.advance(500);
    fleet.assign(1, 2);
    await fleet.clock.advance(90_000);
    expectConsistent(fleet, caller);
    fleet.close();
  },
);

test.each(FAULT_TIMES)(
  "a request runs at most once if its owner is paused %d ms after it arrived and resumed later",
  async (at) => {
    // The owner is paused, possibly just before it sends the request. Its slot is taken over, and
    // when it resumes it still acts as the owner.
    const fleet = await startedFleet();
    const caller = fleet.submit(2, ENTRY);
    await fleet.clock.advance(at);
    fleet.node(0).pauseControl.pause();
    await fleet.clock.advance(3_000);
    fleet.assign(1, 2);
    await fleet.clock.advance(2_000);
    fleet.node(0).pauseControl.resume();
    await fleet.clock.advance(90_000);
    expectConsistent(fleet, caller);
    fleet.close();
  },
);

test("an owner cut off by a partition runs nothing after its slots were taken over", async () => {
  // The owner can reach neither the store nor its backup, and its slots are taken over. One caller
  // submits the entry to it, and another submits the same entry to the new owner.
  const fleet = await startedFleet();
  fleet.node(0).isIsolated = true;
  fleet.network.setPartitioned("e0#1", "e1#1", true);
  fleet.network.setPartitioned("e0#1", "e2#1", true);
  fleet.assign(1, 2);
  await fleet.clock.advance(10);
  const oldOwnerCaller = fleet.submit(0, ENTRY);
  const newOwnerCaller = fleet.submit(2, ENTRY);
  await fleet.clock.advance(10_000);
  expect(newOwnerCaller.text).toBe(expectedAnswer());
  expect(oldOwnerCaller.events.at(-1)).toMatchObject({
    kind: "rejected",
    rejection: { notRun: false },
  });
  fleet.network.setPartitioned("e0#1", "e1#1", false);
  fleet.network.setPartitioned("e0#1", "e2#1", false);
  await fleet.clock.advance(90_000);
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("nothing is sent before the backup has acknowledged the intent", async () => {
  // An accepted request waits for a server. A server becomes free after owner and backup have lost
  // contact. If the owner sent the request and died, the backup would not have the intent and would
  // send the request again.
  const fleet = await startedFleet();
  const workers = [createTestWorker("w1")];
  const caller = fleet.submit(2, ENTRY);
  await fleet.clock.advance(2);
  fleet.setWorkers([]);
  await fleet.clock.advance(100);
  fleet.network.setPartitioned("e0#1", "e1#1", true);
  fleet.setWorkers(workers);
  await fleet.clock.advance(10_000);
  expect(fleet.engines.runs).toHaveLength(0);
  fleet.kill(0);
  fleet.assign(1, 2);
  await fleet.clock.advance(10_000);
  expect(caller.text).toBe(expectedAnswer());
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a key whose history is lost is not run again", async () => {
  // Both owners of the key's slot died at once. The request may have run before. The new owner has
  // no record of it, so it must refuse the key rather than run the request a second time.
  const fleet = await startedFleet();
  fleet.kill(0);
  fleet.kill(1);
  fleet.assign(2, -1, { historyLost: true });
  await fleet.clock.advance(10);
  const caller = fleet.submit(2, ENTRY);
  await fleet.clock.advance(1_000);
  expect(caller.events).toMatchObject([
    { kind: "rejected", rejection: { reason: Refusal.HistoryLost, notRun: false } },
  ]);
  expect(fleet.engines.runs).toHaveLength(0);
  fleet.close();
});

test("the same key returns the same answer hours later", async () => {
  // A client submits the same form again hours later.
  const fleet = await startedFleet();
  fleet.submit(2, ENTRY);
  await fleet.clock.advance(8 * 3_600_000);
  const again = fleet.submit(1, ENTRY);
  await fleet.clock.advance(1_000);
  expect(again.text).toBe(expectedAnswer());
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

import { expect, test } from "vitest";
import { Refusal, RequestState } from "../interface/index.ts";
import { answerOf, createRequestFleet, workerNamed } from "./testing/request_fleet.ts";
import type { CallerView, RequestFleet } from "./testing/request_fleet.ts";

const ENTRY = { key: "entry-17", repeatable: false };
/** Times, in milliseconds after the submission, that lie between each two steps of a request's life. */
const MOMENTS = Array.from({ length: 40 }, (_, index) => index * 1.5);

async function startedFleet(): Promise<RequestFleet> {
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  return fleet;
}

/** What the caller was told agrees with what the servers have run. */
function expectHonest(fleet: RequestFleet, caller: CallerView): void {
  expect(fleet.engines.runs.length).toBeLessThanOrEqual(1);
  const last = caller.events.at(-1);
  const ended = last?.kind === "ended" ? last.record.state : undefined;
  const notRun = last?.kind === "rejected" ? last.rejection.notRun : ended === RequestState.NotRun;
  if (notRun) expect(fleet.engines.runs).toHaveLength(0);
  if (ended === RequestState.Complete) expect(caller.text).toBe(answerOf());
  expect(caller.done).toBe(true);
}

test.each(MOMENTS)(
  "an owner killed %d ms after an entry came has it run at most once",
  async (at) => {
    // The owner's process dies somewhere between accepting the entry, writing down that it will be sent,
    // sending it and its end. Whatever the backup then does, a second run would make the club pay twice.
    const fleet = await startedFleet();
    const caller = fleet.submit(2, ENTRY);
    await fleet.clock.advance(at);
    fleet.kill(0);
    await fleet.clock.advance(500);
    fleet.assign(1, 2);
    await fleet.clock.advance(90_000);
    expectHonest(fleet, caller);
    fleet.close();
  },
);

test.each(MOMENTS)(
  "an owner paused %d ms after an entry came and woken later sends nothing",
  async (at) => {
    // The owner is paused, its slot is taken over, and it wakes up believing that it still owns the entry. It
    // may be just about to send it.
    const fleet = await startedFleet();
    const caller = fleet.submit(2, ENTRY);
    await fleet.clock.advance(at);
    fleet.node(0).freezer.freeze();
    await fleet.clock.advance(3_000);
    fleet.assign(1, 2);
    await fleet.clock.advance(2_000);
    fleet.node(0).freezer.wake();
    await fleet.clock.advance(90_000);
    expectHonest(fleet, caller);
    fleet.close();
  },
);

test("a slot map split by a partition: the side that was left behind runs nothing", async () => {
  // The owner hears neither the store nor its backup. The others take its slots over; a secretary on its
  // side sends the entry to it, another one sends the same entry to the new owner.
  const fleet = await startedFleet();
  fleet.node(0).deaf = true;
  fleet.network.setCut("e0#1", "e1#1", true);
  fleet.network.setCut("e0#1", "e2#1", true);
  fleet.assign(1, 2);
  await fleet.clock.advance(10);
  const behind = fleet.submit(0, ENTRY);
  const ahead = fleet.submit(2, ENTRY);
  await fleet.clock.advance(10_000);
  expect(ahead.text).toBe(answerOf());
  expect(behind.events.at(-1)).toMatchObject({ kind: "rejected", rejection: { notRun: false } });
  fleet.network.setCut("e0#1", "e1#1", false);
  fleet.network.setCut("e0#1", "e2#1", false);
  await fleet.clock.advance(90_000);
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("nothing is sent before the backup has the intent", async () => {
  // The entry was accepted and waits for a server; then owner and backup can't reach each other. A server
  // becomes free. If the owner sent the entry now and died, its backup would know of no intent and send it
  // again.
  const fleet = await startedFleet();
  const workers = [workerNamed("w1")];
  const caller = fleet.submit(2, ENTRY);
  await fleet.clock.advance(2);
  fleet.setWorkers([]);
  await fleet.clock.advance(100);
  fleet.network.setCut("e0#1", "e1#1", true);
  fleet.setWorkers(workers);
  await fleet.clock.advance(10_000);
  expect(fleet.engines.runs).toHaveLength(0);
  fleet.kill(0);
  fleet.assign(1, 2);
  await fleet.clock.advance(10_000);
  expect(caller.text).toBe(answerOf());
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a key whose history is lost is not run again", async () => {
  // Both owners of the key's slot died at once. The entry may have run before that; the new owner can't
  // know and says so instead of running it a second time.
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

test("the same key long after the answer gets the same answer", async () => {
  // A secretary finds the entry form still open in the evening and sends it again.
  const fleet = await startedFleet();
  fleet.submit(2, ENTRY);
  await fleet.clock.advance(8 * 3_600_000);
  const again = fleet.submit(1, ENTRY);
  await fleet.clock.advance(1_000);
  expect(again.text).toBe(answerOf());
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

import { expect, test } from "vitest";
import { MemberState, Refusal, RequestState } from "../interface/index.ts";
import { answerOf, createRequestFleet, endOf } from "./testing/request_fleet.ts";

test("an answer comes whole, after its acceptance was copied to the backup", async () => {
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  const caller = fleet.submit(0);
  await fleet.clock.advance(1_000);
  expect(caller.text).toBe(answerOf());
  expect(endOf(caller)?.state).toBe(RequestState.Complete);
  const found = await fleet.node(0).requests.find(caller.id, "club");
  expect(found).toMatchObject({ state: RequestState.Complete });
  fleet.close();
});

test("the same key at two instances at once runs once and answers both", async () => {
  // A club's secretary sends an entry, sees nothing, and sends it again; the second try reaches another
  // entry instance. If both ran it, the club would pay twice.
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  const entry = { key: "entry-17", repeatable: false };
  const first = fleet.submit(1, entry);
  const second = fleet.submit(2, entry);
  await fleet.clock.advance(2_000);
  expect([first.text, second.text]).toEqual([answerOf(), answerOf()]);
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a key that comes again with another body is a conflict, not the other's answer", async () => {
  // Two scripts of a traffic desk use the same key by mistake. With the first one's answer the second spot
  // would be billed under the wrong brand.
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  fleet.submit(0, { key: "spot" });
  const second = fleet.submit(1, { key: "spot", body: '{"max_tokens":2}' });
  await fleet.clock.advance(1_000);
  expect(second.events).toMatchObject([
    { kind: "rejected", rejection: { reason: Refusal.KeyConflict, notRun: true } },
  ]);
  fleet.close();
});

test("an accepted request survives its owner's announced reclaim, and the caller gets each token once", async () => {
  // The cloud takes the owning instance back in mid-answer. It hands the slot to its backup at once; the
  // caller, who is connected elsewhere, must see the answer go on where it was.
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  const caller = fleet.submit(2, { key: "script" });
  await fleet.clock.advance(100);
  const before = caller.text;
  expect(before.length).toBeGreaterThan(0);
  fleet.setState(0, MemberState.Leaving);
  const ceded = fleet.node(0).requests.cedeAll();
  await fleet.clock.advance(50);
  await ceded;
  fleet.kill(0);
  await fleet.clock.advance(3_000);
  fleet.assign(1, 2);
  await fleet.clock.advance(3_000);
  expect(caller.text).toBe(answerOf());
  expect(endOf(caller)?.state).toBe(RequestState.Complete);
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

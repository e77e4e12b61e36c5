import { expect, test } from "vitest";
import { EngineRequestState, MemberState, Refusal, RequestState } from "../interface/index.ts";
import {
  expectedAnswer,
  createRequestFleet,
  endedRecord,
  createTestWorker,
} from "./testing/request_fleet.ts";

test("an answer arrives in full after its acceptance was copied to the backup", async () => {
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  const caller = fleet.submit(0);
  await fleet.clock.advance(1_000);
  expect(caller.text).toBe(expectedAnswer());
  expect(endedRecord(caller)?.state).toBe(RequestState.Complete);
  const found = await fleet.node(0).requests.find(caller.id, "club");
  expect(found).toMatchObject({ state: RequestState.Complete });
  fleet.close();
});

test("a key sent to two instances at once runs once and both callers get the answer", async () => {
  // A caller submits an entry, gets no answer and submits it again through another entry instance.
  // If both instances ran it, the caller would pay twice.
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  const entry = { key: "entry-17", repeatable: false };
  const first = fleet.submit(1, entry);
  const second = fleet.submit(2, entry);
  await fleet.clock.advance(2_000);
  expect([first.text, second.text]).toEqual([expectedAnswer(), expectedAnswer()]);
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("reusing a key with a different body is a conflict", async () => {
  // Two clients use the same key by mistake. With the answer to the first request, the second one
  // would be billed to the wrong brand.
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
  // The owner is reclaimed while it answers, and hands its slot over to its backup. The caller is
  // connected to another instance, and its answer must continue at the same token.
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  const caller = fleet.submit(2, { key: "script" });
  await fleet.clock.advance(100);
  const before = caller.text;
  expect(before.length).toBeGreaterThan(0);
  fleet.setState(0, MemberState.Leaving);
  const handover = fleet.node(0).requests.handOverAll();
  await fleet.clock.advance(50);
  await handover;
  fleet.kill(0);
  await fleet.clock.advance(3_000);
  fleet.assign(1, 2);
  await fleet.clock.advance(3_000);
  expect(caller.text).toBe(expectedAnswer());
  expect(endedRecord(caller)?.state).toBe(RequestState.Complete);
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("cancelling a request at another instance ends it for its caller and at the server", async () => {
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  const caller = fleet.submit(2, { key: "k", body: '{"max_tokens":500}' });
  await fleet.clock.advance(200);
  const cancelled = fleet.node(1).requests.cancel(caller.id, "club");
  await fleet.clock.advance(100);
  await cancelled;
  expect(endedRecord(caller)?.state).toBe(RequestState.Cancelled);
  const state = fleet.engines
    .connect()
    .queryRequest(createTestWorker("w1"), caller.id, { bar: false });
  await fleet.clock.advance(100);
  expect(await state).toBe(EngineRequestState.Cancelled);
  fleet.close();
});

test("another account can neither read nor cancel a request by its id", async () => {
  // A client account uses the id of another account's request. It must be able neither to read nor
  // to cancel it.
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  const caller = fleet.submit(0, { body: '{"max_tokens":50}' });
  await fleet.clock.advance(100);
  const found = fleet.node(2).requests.find(caller.id, "other-club");
  const cancelled = fleet.node(0).requests.cancel(caller.id, "other-club");
  const forged = fleet.node(0).requests.find("r9999-0000000000000000", "club");
  await fleet.clock.advance(2_000);
  for (const answer of [found, cancelled, forged]) {
    expect(await answer).toMatchObject({ reason: Refusal.UnknownRequest });
  }
  expect(caller.text).toBe(expectedAnswer(50));
  fleet.close();
});

test("answers without a key are dropped within an hour, answers with a key are kept", async () => {
  // An instance that runs for weeks and kept every answer would exhaust its memory within a day.
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  const plain = fleet.submit(0);
  const keyed = fleet.submit(0, { key: "k" });
  await fleet.clock.advance(3_600_000);
  const [lost, kept] = [plain, keyed].map(({ id }) => fleet.node(0).requests.find(id, "club"));
  await fleet.clock.advance(100);
  expect(await lost).toMatchObject({ reason: Refusal.UnknownRequest });
  expect(await kept).toMatchObject({ state: RequestState.Complete });
  fleet.close();
});

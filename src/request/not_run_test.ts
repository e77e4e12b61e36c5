import { expect, test } from "vitest";
import { Refusal, RequestState } from "../interface/index.ts";
import { expectedAnswer, createRequestFleet, endedRecord } from "./testing/request_fleet.ts";
import type { RequestFleet } from "./testing/request_fleet.ts";

async function startedFleet(): Promise<RequestFleet> {
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  return fleet;
}

test("with an unreachable backup the outcome is reported as unknown, never as 'not run'", async () => {
  // The connection between owner and backup is cut while the acceptance is sent. The backup may
  // have it and run it after a takeover, so "not run" could become false. The caller can ask with
  // the id.
  const fleet = await startedFleet();
  fleet.network.setPartitioned("e0#1", "e1#1", true);
  const caller = fleet.submit(0);
  await fleet.clock.advance(2_100);
  expect(caller.events).toMatchObject([
    { kind: "rejected", rejection: { reason: Refusal.BackupUnavailable, notRun: false } },
  ]);
  const [rejected] = caller.events;
  const id = rejected?.kind === "rejected" ? (rejected.rejection.id ?? "") : "";
  fleet.network.setPartitioned("e0#1", "e1#1", false);
  await fleet.clock.advance(5_000);
  const follower = fleet.follow(2, id);
  await fleet.clock.advance(1_000);
  expect(follower.text).toBe(expectedAnswer());
  fleet.close();
});

test("a request followed by its id is not reported as 'not run' while no owner can be reached", async () => {
  // The caller has part of its answer when the owner and the backup die, and asks another instance
  // to continue. That instance can reach no owner, but the id shows that the request was accepted.
  // After "not run", the caller would submit the entry again and pay twice.
  const fleet = await startedFleet();
  const caller = fleet.submit(0);
  await fleet.clock.advance(80);
  expect(caller.text).not.toBe("");
  fleet.kill(0);
  fleet.kill(1);
  const follower = fleet.follow(2, caller.id);
  await fleet.clock.advance(6_000);
  expect(follower.events).toMatchObject([
    {
      kind: "rejected",
      rejection: { reason: Refusal.OwnerUnavailable, notRun: false, id: caller.id },
    },
  ]);
  fleet.close();
});

test("a key is not reported as 'not run' while no owner can be reached", async () => {
  // The same key has run through another instance. This instance has sent nothing itself, but it
  // has no record of that run.
  const fleet = await startedFleet();
  const first = fleet.submit(2, { key: "entry" });
  await fleet.clock.advance(80);
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.kill(0);
  fleet.kill(1);
  const second = fleet.submit(2, { key: "entry" });
  await fleet.clock.advance(6_000);
  expect(second.events).toMatchObject([
    {
      kind: "rejected",
      rejection: { reason: Refusal.OwnerUnavailable, notRun: false, id: first.id },
    },
  ]);
  fleet.close();
});

test("a new request that was sent to no owner is 'not run'", async () => {
  // The caller may retry elsewhere at once: the request has no key, and nothing of it left the
  // instance.
  const fleet = await startedFleet();
  fleet.kill(0);
  fleet.kill(1);
  const caller = fleet.submit(2);
  await fleet.clock.advance(6_000);
  expect(caller.events).toMatchObject([{ kind: "rejected", rejection: { notRun: true } }]);
  fleet.close();
});

test("replication is retried after a lost acknowledgement", async () => {
  // The backup has stored the record, but its acknowledgement was lost. The caller sees only a
  // short delay.
  const fleet = await startedFleet();
  fleet.network.dropResponses("e0#1", "e1#1", 1);
  const caller = fleet.submit(0);
  await fleet.clock.advance(3_000);
  expect(caller.text).toBe(expectedAnswer());
  fleet.close();
});

test("the next owner bars an unacknowledged intent at its server, then runs the request elsewhere", async () => {
  // The owner recorded the intent, the backup's acknowledgement was lost and the owner died. The
  // backup can't determine whether the request was sent, so it first makes the server refuse it.
  // The request was accepted, so the caller must get its answer and pay once.
  const fleet = await startedFleet();
  const caller = fleet.submit(2, { key: "entry", repeatable: false });
  await fleet.clock.advance(5);
  fleet.network.dropResponses("e0#1", "e1#1", 5);
  await fleet.clock.advance(10);
  fleet.kill(0);
  fleet.assign(1, 2);
  await fleet.clock.advance(10_000);
  expect(endedRecord(caller)).toMatchObject({ state: RequestState.Complete });
  expect(caller.text).toBe(expectedAnswer());
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a request whose deadline passes in the queue is 'not run' at once", async () => {
  // All servers of the service are gone. The caller must receive the refusal at its deadline, not
  // later.
  const fleet = await startedFleet();
  const caller = fleet.submit(0, { deadline: 500 });
  await fleet.clock.settle();
  fleet.setWorkers([]);
  await fleet.clock.advance(520);
  expect(endedRecord(caller)).toMatchObject({
    state: RequestState.NotRun,
    reason: Refusal.DeadlinePassed,
  });
  expect(fleet.engines.runs).toHaveLength(0);
  fleet.close();
});

test("'not run' is not reported before the backup has it", async () => {
  // The deadline passes while owner and backup can't reach each other. If the owner reported "not
  // run" and the backup took over, the backup would run a request that the caller has meanwhile
  // sent elsewhere.
  const fleet = await startedFleet();
  const caller = fleet.submit(0, { deadline: 500 });
  await fleet.clock.settle();
  fleet.setWorkers([]);
  await fleet.clock.advance(100);
  fleet.network.setPartitioned("e0#1", "e1#1", true);
  await fleet.clock.advance(6_000);
  expect(caller.events.at(-1)).toMatchObject({
    kind: "rejected",
    rejection: { reason: Refusal.BackupUnavailable, notRun: false, id: caller.id },
  });
  fleet.close();
});

test("a request that may not be repeated ends as 'may have run' if its server dies during the run", async () => {
  const fleet = await startedFleet();
  const caller = fleet.submit(0, { repeatable: false });
  await fleet.clock.advance(80);
  fleet.engines.kill(fleet.engines.runs[0]?.worker ?? "");
  await fleet.clock.advance(5_000);
  expect(endedRecord(caller)).toMatchObject({ state: RequestState.MayHaveRun });
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a new owner does not report 'not run' for a request that the previous one may have sent", async () => {
  // Repeatable requests are sent at once. The owner sent the request and died before its backup was
  // informed. All servers die too, and the deadline passes at the new owner, which has not sent the
  // request itself.
  const fleet = await startedFleet();
  const caller = fleet.submit(2, { key: "k", deadline: 5_000 });
  await fleet.clock.advance(30);
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.kill(0);
  fleet.setWorkers([]);
  fleet.assign(1, 2);
  await fleet.clock.advance(10_000);
  expect(endedRecord(caller)).toMatchObject({ state: RequestState.MayHaveRun });
  fleet.close();
});

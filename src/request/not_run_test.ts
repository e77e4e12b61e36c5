import { expect, test } from "vitest";
import { Refusal, RequestState } from "../interface/index.ts";
import { answerOf, createRequestFleet, endOf } from "./testing/request_fleet.ts";
import type { RequestFleet } from "./testing/request_fleet.ts";

async function startedFleet(): Promise<RequestFleet> {
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  return fleet;
}

test("with the backup out of reach the caller is told that it isn't known yet, never 'not run'", async () => {
  // The path between owner and backup is cut while the acceptance is on its way. The backup may have it
  // and run it after a takeover: "not run" could turn out false. The id lets the caller ask.
  const fleet = await startedFleet();
  fleet.network.setCut("e0#1", "e1#1", true);
  const caller = fleet.submit(0);
  await fleet.clock.advance(2_100);
  expect(caller.events).toMatchObject([
    { kind: "rejected", rejection: { reason: Refusal.BackupUnavailable, notRun: false } },
  ]);
  const [rejected] = caller.events;
  const id = rejected?.kind === "rejected" ? (rejected.rejection.id ?? "") : "";
  fleet.network.setCut("e0#1", "e1#1", false);
  await fleet.clock.advance(5_000);
  const follower = fleet.follow(2, id);
  await fleet.clock.advance(1_000);
  expect(follower.text).toBe(answerOf());
  fleet.close();
});

test("a caller that asks again by the id isn't told 'not run' while no owner can be reached", async () => {
  // The caller has part of its answer when the owner and the backup go, and asks another instance to go on.
  // That instance can send the question to nobody, but the id says that the request was accepted: "not run"
  // would have the club bring the entry anew, and pay twice.
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

test("a key isn't called 'not run' while no owner can be reached", async () => {
  // The same key ran through another instance. This one has sent nothing itself, but can't know of that.
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

test("a request that is new and that no owner was sent is 'not run'", async () => {
  // The caller may bring it elsewhere at once: it has no key, and nothing of it left the instance.
  const fleet = await startedFleet();
  fleet.kill(0);
  fleet.kill(1);
  const caller = fleet.submit(2);
  await fleet.clock.advance(6_000);
  expect(caller.events).toMatchObject([{ kind: "rejected", rejection: { notRun: true } }]);
  fleet.close();
});

test("an acknowledgement that was lost is asked for again", async () => {
  // The backup has the record, the answer that says so never came. The caller only sees a short wait.
  const fleet = await startedFleet();
  fleet.network.loseAnswers("e0#1", "e1#1", 1);
  const caller = fleet.submit(0);
  await fleet.clock.advance(3_000);
  expect(caller.text).toBe(answerOf());
  fleet.close();
});

test("an intent that was written but not acknowledged: the next owner bars it, then runs it elsewhere", async () => {
  // The owner wrote down that it will send the entry, the backup's answer was lost, and the owner died. The
  // backup can't tell an entry that was sent from one that wasn't, so it has the server refuse it first.
  // The entry was accepted: the club gets its answer, and pays once.
  const fleet = await startedFleet();
  const caller = fleet.submit(2, { key: "entry", repeatable: false });
  await fleet.clock.advance(5);
  fleet.network.loseAnswers("e0#1", "e1#1", 5);
  await fleet.clock.advance(10);
  fleet.kill(0);
  fleet.assign(1, 2);
  await fleet.clock.advance(10_000);
  expect(endOf(caller)).toMatchObject({ state: RequestState.Complete });
  expect(caller.text).toBe(answerOf());
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a deadline that passes in the queue is 'not run' at once", async () => {
  // All servers of the service are gone. The finish tent must hear at its deadline, not after it.
  const fleet = await startedFleet();
  const caller = fleet.submit(0, { deadline: 500 });
  await fleet.clock.settle();
  fleet.setWorkers([]);
  await fleet.clock.advance(520);
  expect(endOf(caller)).toMatchObject({
    state: RequestState.NotRun,
    reason: Refusal.DeadlinePassed,
  });
  expect(fleet.engines.runs).toHaveLength(0);
  fleet.close();
});

test("'not run' is not said while the backup doesn't know it", async () => {
  // The deadline passes while owner and backup can't reach each other. If the owner said "not run" and the
  // backup took over, it would run the entry that the club has by now sent elsewhere.
  const fleet = await startedFleet();
  const caller = fleet.submit(0, { deadline: 500 });
  await fleet.clock.settle();
  fleet.setWorkers([]);
  await fleet.clock.advance(100);
  fleet.network.setCut("e0#1", "e1#1", true);
  await fleet.clock.advance(6_000);
  expect(caller.events.at(-1)).toMatchObject({
    kind: "rejected",
    rejection: { reason: Refusal.BackupUnavailable, notRun: false, id: caller.id },
  });
  fleet.close();
});

test("a server that went away in mid-run leaves what may not be repeated as 'may have run'", async () => {
  const fleet = await startedFleet();
  const caller = fleet.submit(0, { repeatable: false });
  await fleet.clock.advance(80);
  fleet.engines.kill(fleet.engines.runs[0]?.worker ?? "");
  await fleet.clock.advance(5_000);
  expect(endOf(caller)).toMatchObject({ state: RequestState.MayHaveRun });
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a new owner doesn't say 'not run' of what the earlier one may have sent without telling it", async () => {
  // What may be repeated is sent at once. The owner sent it and died before its backup heard of that; all
  // servers go too, and the deadline passes at the new owner, which has never sent it itself.
  const fleet = await startedFleet();
  const caller = fleet.submit(2, { key: "k", deadline: 5_000 });
  await fleet.clock.advance(30);
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.kill(0);
  fleet.setWorkers([]);
  fleet.assign(1, 2);
  await fleet.clock.advance(10_000);
  expect(endOf(caller)).toMatchObject({ state: RequestState.MayHaveRun });
  fleet.close();
});

import { expect, test } from "vitest";
import { RequestState, WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";
import { answerOf, createRequestFleet, endOf, workerNamed } from "./testing/request_fleet.ts";
import type { RequestFleet } from "./testing/request_fleet.ts";

const TOKENS = 400;
const BODY = JSON.stringify({ model: "entry-model", max_tokens: TOKENS });
const NOTICE = 4_000;

async function fleetWith(workers: readonly Worker[]): Promise<RequestFleet> {
  const fleet = createRequestFleet();
  fleet.setWorkers(workers);
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  return fleet;
}

/** Puts the first worker under notice, and takes it when the notice has run out. */
async function reclaimFirst(fleet: RequestFleet): Promise<void> {
  const reclaimAt = fleet.clock.now() + NOTICE;
  const leaving = { ...workerNamed("w1"), state: WorkerState.Leaving, reclaimAt };
  fleet.setWorkers([leaving, workerNamed("w2")]);
  await fleet.clock.advance(NOTICE);
  fleet.engines.kill("w1");
}

test("what may not be repeated is moved from a server under notice, and not begun again", async () => {
  // A club's entry is in the middle of its answer when the cloud takes the server back, and the answer is
  // longer than the notice. Left there, the club would hear that it may have run; begun again, it would pay
  // twice. So the server stops it, and the next one goes on from the tokens that were had.
  const fleet = await fleetWith([workerNamed("w1")]);
  const caller = fleet.submit(0, { key: "entry", repeatable: false, body: BODY });
  await fleet.clock.advance(1_000);
  await reclaimFirst(fleet);
  await fleet.clock.advance(10_000);
  expect(endOf(caller)?.state).toBe(RequestState.Complete);
  expect(caller.text).toBe(answerOf(TOKENS));
  const [first, second] = fleet.engines.runs;
  expect(fleet.engines.runs).toHaveLength(2);
  expect(second?.resumedFrom).toBeGreaterThan(0);
  expect(first?.cancelledAt).toBeLessThanOrEqual(second?.startedAt ?? 0);
  fleet.close();
});

test("an entry without a first token stays at the server under notice", async () => {
  // Nothing has come yet, so there is nothing to go on from: sent elsewhere it would be begun a second time.
  const fleet = await fleetWith([workerNamed("w1")]);
  fleet.engines.slow("w1", 1_000);
  fleet.submit(0, { key: "entry", repeatable: false, body: BODY });
  await fleet.clock.advance(1_000);
  await reclaimFirst(fleet);
  await fleet.clock.advance(10_000);
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("an answer whose run was cancelled at its server is not taken for whole", async () => {
  // The owner that was left behind moves a script and has its server stop it, while the new owner follows
  // it there. To the follower the answer just ends; passed on as whole, the desk would print half a script.
  const fleet = await fleetWith([workerNamed("w1"), workerNamed("w2")]);
  const caller = fleet.submit(0, { body: BODY });
  await fleet.clock.advance(1_000);
  const [run] = fleet.engines.runs;
  void fleet.engines.connect().cancel(workerNamed(run?.worker ?? ""), run?.id ?? "");
  await fleet.clock.advance(20_000);
  expect(endOf(caller)?.state).toBe(RequestState.Complete);
  expect(caller.text).toBe(answerOf(TOKENS));
  fleet.close();
});

test("a request that is inherited on a server under notice is moved as well", async () => {
  // A wave takes the server and the entry instance of a zone: the server's notice comes first, then the
  // instance hands its slots over. The new owner must save what it inherits on that server.
  const fleet = await fleetWith([workerNamed("w1")]);
  const caller = fleet.submit(2, { key: "entry", repeatable: false, body: BODY });
  await fleet.clock.advance(1_000);
  const reclaimAt = fleet.clock.now() + NOTICE;
  const leaving = { ...workerNamed("w1"), state: WorkerState.Leaving, reclaimAt };
  fleet.setWorkers([leaving, workerNamed("w2")]);
  await fleet.clock.advance(50);
  void fleet.node(0).requests.cedeAll();
  await fleet.clock.advance(100);
  fleet.kill(0);
  fleet.assign(1, 2);
  await fleet.clock.advance(NOTICE - 150);
  fleet.engines.kill("w1");
  await fleet.clock.advance(10_000);
  expect(endOf(caller)?.state).toBe(RequestState.Complete);
  expect(caller.text).toBe(answerOf(TOKENS));
  expect(fleet.engines.runs.filter(({ resumedFrom }) => resumedFrom === 0)).toHaveLength(1);
  fleet.close();
});

test("an entry that had no token at its server's notice is moved when it has", async () => {
  // The notice comes while the server still reads the prompt. Nothing can be moved then; once tokens come
  // there is something to go on from, and the instance isn't gone yet.
  const fleet = await fleetWith([workerNamed("w1")]);
  fleet.engines.slow("w1", 50);
  const caller = fleet.submit(0, { key: "entry", repeatable: false, body: BODY });
  await fleet.clock.advance(100);
  await reclaimFirst(fleet);
  await fleet.clock.advance(20_000);
  expect(endOf(caller)?.state).toBe(RequestState.Complete);
  expect(caller.text).toBe(answerOf(TOKENS));
  fleet.close();
});

test("an entry that was moved once is moved again from the next server to be taken", async () => {
  // Waves follow each other: the server that the entry went to is taken as well. Saved only once, the entry
  // would be lost with the second server, and the club would hear that it may have run.
  const fleet = await fleetWith([workerNamed("w1")]);
  const caller = fleet.submit(0, { key: "entry", repeatable: false, body: BODY });
  await fleet.clock.advance(1_000);
  await reclaimFirst(fleet);
  await fleet.clock.advance(500);
  const reclaimAt = fleet.clock.now() + NOTICE / 2;
  const leaving = { ...workerNamed("w2"), state: WorkerState.Leaving, reclaimAt };
  fleet.setWorkers([leaving, workerNamed("w3")]);
  await fleet.clock.advance(NOTICE / 2);
  fleet.engines.kill("w2");
  await fleet.clock.advance(10_000);
  expect(endOf(caller)?.state).toBe(RequestState.Complete);
  expect(caller.text).toBe(answerOf(TOKENS));
  expect(fleet.engines.runs.map(({ worker }) => worker)).toEqual(["w1", "w2", "w3"]);
  fleet.close();
});

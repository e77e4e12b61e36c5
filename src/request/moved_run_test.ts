import { expect, test } from "vitest";
import { RequestState, WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";
import {
  expectedAnswer,
  createRequestFleet,
  endedRecord,
  createTestWorker,
} from "./testing/request_fleet.ts";
import type { RequestFleet } from "./testing/request_fleet.ts";

const TOKENS = 400;
const BODY = JSON.stringify({ model: "entry-model", max_tokens: TOKENS });
const NOTICE_PERIOD = 4_000;

async function fleetWith(workers: readonly Worker[]): Promise<RequestFleet> {
  const fleet = createRequestFleet();
  fleet.setWorkers(workers);
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  return fleet;
}

/** Gives the first worker a reclaim notice, and removes it when the notice period ends. */
async function reclaimFirst(fleet: RequestFleet): Promise<void> {
  const reclaimAt = fleet.clock.now() + NOTICE_PERIOD;
  const leaving = { ...createTestWorker("w1"), state: WorkerState.Leaving, reclaimAt };
  fleet.setWorkers([leaving, createTestWorker("w2")]);
  await fleet.clock.advance(NOTICE_PERIOD);
  fleet.engines.kill("w1");
}

test("a request that may not be repeated is moved from a server under notice without a restart", async () => {
  // The server is reclaimed while it answers, and the answer takes longer than the notice period.
  // If the request stayed, it would end as "may have run"; if it restarted, the caller would pay
  // twice. So the server stops it, and the next one continues from the tokens received.
  const fleet = await fleetWith([createTestWorker("w1")]);
  const caller = fleet.submit(0, { key: "entry", repeatable: false, body: BODY });
  await fleet.clock.advance(1_000);
  await reclaimFirst(fleet);
  await fleet.clock.advance(10_000);
  expect(endedRecord(caller)?.state).toBe(RequestState.Complete);
  expect(caller.text).toBe(expectedAnswer(TOKENS));
  const [first, second] = fleet.engines.runs;
  expect(fleet.engines.runs).toHaveLength(2);
  expect(second?.resumedFrom).toBeGreaterThan(0);
  expect(first?.cancelledAt).toBeLessThanOrEqual(second?.startedAt ?? 0);
  fleet.close();
});

test("a request without a first token stays at the server under notice", async () => {
  // Without a token there is nothing to continue from. At another server, the request would run a
  // second time.
  const fleet = await fleetWith([createTestWorker("w1")]);
  fleet.engines.setSlowdown("w1", 1_000);
  fleet.submit(0, { key: "entry", repeatable: false, body: BODY });
  await fleet.clock.advance(1_000);
  await reclaimFirst(fleet);
  await fleet.clock.advance(10_000);
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("an answer whose run was cancelled at its server is not treated as complete", async () => {
  // A former owner moves a request and cancels its run, while the new owner follows the run. The
  // new owner then receives the end of a partial answer. If it counted as complete, the caller
  // would receive half of it.
  const fleet = await fleetWith([createTestWorker("w1"), createTestWorker("w2")]);
  const caller = fleet.submit(0, { body: BODY });
  await fleet.clock.advance(1_000);
  const [run] = fleet.engines.runs;
  void fleet.engines.connect().cancel(createTestWorker(run?.worker ?? ""), run?.id ?? "");
  await fleet.clock.advance(20_000);
  expect(endedRecord(caller)?.state).toBe(RequestState.Complete);
  expect(caller.text).toBe(expectedAnswer(TOKENS));
  fleet.close();
});

test("an inherited request on a server under notice is moved as well", async () => {
  // A server and an entry instance are reclaimed in one wave. The server's notice comes first, then
  // the instance hands its slots over. The new owner must move the requests that it inherits on
  // that server.
  const fleet = await fleetWith([createTestWorker("w1")]);
  const caller = fleet.submit(2, { key: "entry", repeatable: false, body: BODY });
  await fleet.clock.advance(1_000);
  const reclaimAt = fleet.clock.now() + NOTICE_PERIOD;
  const leaving = { ...createTestWorker("w1"), state: WorkerState.Leaving, reclaimAt };
  fleet.setWorkers([leaving, createTestWorker("w2")]);
  await fleet.clock.advance(50);
  void fleet.node(0).requests.handOverAll();
  await fleet.clock.advance(100);
  fleet.kill(0);
  fleet.assign(1, 2);
  await fleet.clock.advance(NOTICE_PERIOD - 150);
  fleet.engines.kill("w1");
  await fleet.clock.advance(10_000);
  expect(endedRecord(caller)?.state).toBe(RequestState.Complete);
  expect(caller.text).toBe(expectedAnswer(TOKENS));
  expect(fleet.engines.runs.filter(({ resumedFrom }) => resumedFrom === 0)).toHaveLength(1);
  fleet.close();
});

test("a request without a token at its server's notice is moved once it has one", async () => {
  // The notice comes while the server still reads the prompt, so the request can't be moved yet. It
  // must be moved once tokens arrive, before the server is gone.
  const fleet = await fleetWith([createTestWorker("w1")]);
  fleet.engines.setSlowdown("w1", 50);
  const caller = fleet.submit(0, { key: "entry", repeatable: false, body: BODY });
  await fleet.clock.advance(100);
  await reclaimFirst(fleet);
  await fleet.clock.advance(20_000);
  expect(endedRecord(caller)?.state).toBe(RequestState.Complete);
  expect(caller.text).toBe(expectedAnswer(TOKENS));
  fleet.close();
});

test("a request that was moved once is moved again from the next reclaimed server", async () => {
  // Reclaims come in waves, so the server to which a request was moved may be reclaimed too. If a
  // request were moved only once, it would be lost with the second server and end as "may have
  // run".
  const fleet = await fleetWith([createTestWorker("w1")]);
  const caller = fleet.submit(0, { key: "entry", repeatable: false, body: BODY });
  await fleet.clock.advance(1_000);
  await reclaimFirst(fleet);
  await fleet.clock.advance(500);
  const reclaimAt = fleet.clock.now() + NOTICE_PERIOD / 2;
  const leaving = { ...createTestWorker("w2"), state: WorkerState.Leaving, reclaimAt };
  fleet.setWorkers([leaving, createTestWorker("w3")]);
  await fleet.clock.advance(NOTICE_PERIOD / 2);
  fleet.engines.kill("w2");
  await fleet.clock.advance(10_000);
  expect(endedRecord(caller)?.state).toBe(RequestState.Complete);
  expect(caller.text).toBe(expectedAnswer(TOKENS));
  expect(fleet.engines.runs.map(({ worker }) => worker)).toEqual(["w1", "w2", "w3"]);
  fleet.close();
});

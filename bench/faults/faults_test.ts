/**
 * Replays fault scenarios that once violated a guarantee, and tests that each kind of violation is detected.
 *
 * @module
 */
import { expect, test } from "vitest";
import { RequestState } from "../../src/interface/index.ts";
import { requestIdForKey } from "../../src/request/request_key.ts";
import { ACCOUNT, createCallerLog } from "./caller.ts";
import { runScenario } from "./run_scenario.ts";
import { findViolations } from "./guarantees.ts";
import { generateScenario } from "./scenario.ts";
import { shrinkScenario } from "./shrink.ts";

test.each([1, 2, 57, 127])("seed %i keeps every guarantee", async (seed) => {
  // Instances, zones, connections, the store and backend servers fail together under load. A violation would give
  // a caller a duplicate run, a wrong answer or no answer.
  expect((await runScenario(generateScenario(seed))).violations).toEqual([]);
});

test.each([32, 44, 46, 116, 133])(
  "seed %i: a key that runs on another instance is not reported as not run",
  async (seed) => {
    // A caller submits its key to two instances. One that was stopping or partitioned rejected it as "not run"
    // while the other ran it. The caller would resubmit under a new key and be charged twice.
    expect((await runScenario(generateScenario(seed))).violations).toEqual([]);
  },
);

test("seed 11059: a request that is followed by its id is not reported as not run", async () => {
  // The owner's availability zone is reclaimed, another instance is killed and the store is unavailable. The caller
  // has most of its answer and asks an instance that reaches no owner. It received "not run" for a request that had run.
  expect((await runScenario(generateScenario(11_059))).violations).toEqual([]);
});

test("seed 12361: survivors of less than half of a fleet take over the slots", async () => {
  // Three of five instances terminate while the store is unavailable. When callers requested the dead instances'
  // slots, the two survivors answered each other's claims in an endless loop.
  expect((await runScenario(generateScenario(12_361))).violations).toEqual([]);
});

test("each violation is detected", () => {
  const scenario = { ...generateScenario(1), faults: [] };
  const request = { at: 0, instance: 0, repeatable: false, detached: false, tokens: 2, key: "k" };
  const { id } = requestIdForKey(ACCOUNT, "k");
  const run = { id, worker: "w0", attempt: 1, startedAt: 1, resumedFrom: 0 };
  const violations = findViolations({
    scenario,
    runs: [run, run],
    callerLogs: [
      { ...createCallerLog(request), id, endedAt: 9, finalStates: [RequestState.NotRun] },
      { ...createCallerLog(request), id, accepted: true, tokens: ["t1 "] },
      { ...createCallerLog(request), id, tokens: ["t0 "], finalStates: [RequestState.Complete] },
    ],
    versions: [[2, 1]],
  });
  expect(violations.map((message) => message.replace(/^\S+ /, ""))).toEqual([
    "ran 2 times, but it is not repeatable.",
    "resumed on w0 before w0 had stopped it.",
    "ran 2 times, but it is not repeatable.",
    "resumed on w0 before w0 had stopped it.",
    "the caller received the tokens t1 .",
    "it was accepted, but the caller received no final state ().",
    "ran 2 times, but it is not repeatable.",
    "resumed on w0 before w0 had stopped it.",
    "the answer was reported complete with 1 of 2 tokens.",
    'the caller received "not run", but it had run.',
    "0 returned to an earlier revision: 2 1.",
  ]);
});

test("a failing scenario is reduced to the faults that it needs", async () => {
  const scenario = generateScenario(133);
  const [requiredFault] = scenario.faults;
  const smallest = await shrinkScenario(scenario, ({ faults }) =>
    Promise.resolve(faults.some((fault) => fault === requiredFault)),
  );
  expect(smallest).toEqual({ ...scenario, faults: [requiredFault], demands: [] });
});

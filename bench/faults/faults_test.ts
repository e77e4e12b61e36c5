import { expect, test } from "vitest";
import { RequestState } from "../../src/interface/index.ts";
import { requestIdForKey } from "../../src/request/request_key.ts";
import { ACCOUNT, emptyNotes } from "./caller.ts";
import { play } from "./play.ts";
import { brokenPromises } from "./promises.ts";
import { drawScenario } from "./scenario.ts";
import { shrink } from "./shrink.ts";

test.each([1, 2, 57, 127])("seed %i keeps every promise", async (seed) => {
  // Instances, zones, paths, the store and workers fail together while clubs bring their entries. A user
  // would see a doubled entry, a mixed-up answer, or none.
  expect((await play(drawScenario(seed))).broken).toEqual([]);
});

test.each([32, 44, 46, 116, 133])(
  "seed %i: a key that runs elsewhere is not called not run",
  async (seed) => {
    // A club brings its key to two instances. One that is stopping or cut off turned it away as "not run",
    // while the other ran it: the club would bring the entry anew, under a new key, and pay twice.
    expect((await play(drawScenario(seed))).broken).toEqual([]);
  },
);

test("seed 11059: a request that is asked for by its id is not called not run", async () => {
  // A zone is taken with the owner, another instance dies and the store is away: the caller, with most of its
  // answer, asks an instance that reaches no owner. It was told "not run", of a request that it had seen run.
  expect((await play(drawScenario(11_059))).broken).toEqual([]);
});

test("seed 12361: survivors of less than half a fleet take the slots over", async () => {
  // Three of five instances go while the store is away. Callers asked for the dead instances' slots, and the two
  // survivors answered each other's claims for ever.
  expect((await play(drawScenario(12_361))).broken).toEqual([]);
});

test("each broken promise is seen", () => {
  const scenario = { ...drawScenario(1), faults: [] };
  const demand = { at: 0, instance: 0, repeatable: false, detached: false, tokens: 2, key: "k" };
  const { id } = requestIdForKey(ACCOUNT, "k");
  const run = { id, worker: "w0", attempt: 1, startedAt: 1, resumedFrom: 0 };
  const broken = brokenPromises({
    scenario,
    runs: [run, run],
    notes: [
      { ...emptyNotes(demand), id, endedAt: 9, ends: [RequestState.NotRun] },
      { ...emptyNotes(demand), id, accepted: true, tokens: ["t1 "] },
      { ...emptyNotes(demand), id, tokens: ["t0 "], ends: [RequestState.Complete] },
    ],
    versions: [[2, 1]],
  });
  expect(broken.map((sentence) => sentence.replace(/^\S+ /, ""))).toEqual([
    "ran 2 times, though it may not be repeated.",
    "went on at w0, though w0 had not stopped it.",
    "ran 2 times, though it may not be repeated.",
    "went on at w0, though w0 had not stopped it.",
    "the caller got the tokens t1 .",
    "it was accepted, and the caller got no end ().",
    "ran 2 times, though it may not be repeated.",
    "went on at w0, though w0 had not stopped it.",
    "the answer ended whole with 1 of 2 tokens.",
    'the caller was told "not run", and it had run.',
    "0 went back to an earlier revision: 2 1.",
  ]);
});

test("a failing scenario is shrunk to what it needs", async () => {
  const scenario = drawScenario(133);
  const [needed] = scenario.faults;
  const smallest = await shrink(scenario, ({ faults }) =>
    Promise.resolve(faults.some((fault) => fault === needed)),
  );
  expect(smallest).toEqual({ ...scenario, faults: [needed], demands: [] });
});

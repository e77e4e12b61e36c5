import { expect, test } from "vitest";
import { ErrandEnd } from "./caller.ts";
import type { ErrandRecord } from "./caller.ts";
import { checkPromises } from "./guarantees.ts";
import type { Evidence } from "./guarantees.ts";

const ERRAND = {
  key: "k",
  service: "finish-desk",
  clientKey: "c",
  prompt: "p",
  answerTokens: 2,
  repeatable: false,
};

const ANSWERED: ErrandRecord = {
  errand: ERRAND,
  end: ErrandEnd.Complete,
  id: "r1-a",
  tokens: [
    { index: 0, text: " word0" },
    { index: 1, text: " word1" },
  ],
  firstToken: 10,
  reconnects: 0,
  reason: "",
};

const GOOD: Evidence = {
  errands: [ANSWERED],
  runs: [{ id: "r1-a", worker: "w1", count: 1 }],
  leaving: [{ worker: "w1", begunByBound: 4, begunAtEnd: 4 }],
  presetDelays: [20, 40],
  presetsAfterSwitch: ["peak"],
};

// A check that never fails would let the demo succeed with any of these faults.
const WRONG: readonly [string, Evidence][] = [
  ["a lost response", { ...GOOD, errands: [{ ...ANSWERED, end: ErrandEnd.Unanswered }] }],
  ["a duplicate token", withTokens([" word0", " word0"])],
  ["a missing token", withTokens([" word0"])],
  [
    "a request reported as not run that did run",
    { ...GOOD, errands: [{ ...ANSWERED, end: ErrandEnd.NotRun }] },
  ],
  [
    "a request run twice on one backend server",
    { ...GOOD, runs: [{ id: "r1-a", worker: "w1", count: 2 }] },
  ],
  [
    "a request run on two backend servers",
    { ...GOOD, runs: [...GOOD.runs, { id: "r1-a", worker: "w2", count: 1 }] },
  ],
  [
    "a late dispatch to a reclaimed backend server",
    { ...GOOD, leaving: [{ worker: "w1", begunByBound: 4, begunAtEnd: 5 }] },
  ],
  ["a preset in force too late", { ...GOOD, presetDelays: [20, 5_001] }],
  ["a preset that reverted", { ...GOOD, presetsAfterSwitch: ["peak", "day"] }],
];

function withTokens(texts: readonly string[]): Evidence {
  const tokens = texts.map((text, index) => ({ index, text }));
  return { ...GOOD, errands: [{ ...ANSWERED, tokens }] };
}

test("every guarantee holds for a run without faults", () => {
  expect(checkPromises(GOOD).filter((found) => !found.held)).toEqual([]);
});

test.each(WRONG)("%s violates exactly one guarantee", (_name, evidence) => {
  expect(checkPromises(evidence).filter((found) => !found.held)).toHaveLength(1);
});

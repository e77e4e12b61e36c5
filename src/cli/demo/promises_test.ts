import { expect, test } from "vitest";
import { ErrandEnd } from "./caller.ts";
import type { ErrandRecord } from "./caller.ts";
import { checkPromises } from "./promises.ts";
import type { Evidence } from "./promises.ts";

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

const WRONG: readonly [string, Evidence][] = [
  ["an answer lost", { ...GOOD, errands: [{ ...ANSWERED, end: ErrandEnd.Unanswered }] }],
  ["a token twice", withTokens([" word0", " word0"])],
  ["a token missing", withTokens([" word0"])],
  ["not run, though it ran", { ...GOOD, errands: [{ ...ANSWERED, end: ErrandEnd.NotRun }] }],
  ["run twice at one server", { ...GOOD, runs: [{ id: "r1-a", worker: "w1", count: 2 }] }],
  ["run at two servers", { ...GOOD, runs: [...GOOD.runs, { id: "r1-a", worker: "w2", count: 1 }] }],
  [
    "late work for a leaving server",
    { ...GOOD, leaving: [{ worker: "w1", begunByBound: 4, begunAtEnd: 5 }] },
  ],
  ["a preset late", { ...GOOD, presetDelays: [20, 5_001] }],
  ["a preset that reverted", { ...GOOD, presetsAfterSwitch: ["peak", "day"] }],
];

function withTokens(texts: readonly string[]): Evidence {
  const tokens = texts.map((text, index) => ({ index, text }));
  return { ...GOOD, errands: [{ ...ANSWERED, tokens }] };
}

test("all promises hold where nothing went wrong", () => {
  expect(checkPromises(GOOD).filter((found) => !found.held)).toEqual([]);
});

test.each(WRONG)("%s breaks exactly one promise", (_name, evidence) => {
  expect(checkPromises(evidence).filter((found) => !found.held)).toHaveLength(1);
});

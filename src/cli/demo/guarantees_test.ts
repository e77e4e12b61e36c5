import { expect, test } from "vitest";
import { RequestOutcome } from "./caller.ts";
import type { RequestResult } from "./caller.ts";
import { checkGuarantees } from "./guarantees.ts";
import type { RunRecords } from "./guarantees.ts";

const LOAD_REQUEST = {
  idempotencyKey: "k",
  service: "finish-desk",
  clientKey: "c",
  prompt: "p",
  responseTokens: 2,
  isRepeatable: false,
};

const COMPLETE_RESULT: RequestResult = {
  loadRequest: LOAD_REQUEST,
  outcome: RequestOutcome.Complete,
  requestId: "r1-a",
  tokens: [
    { index: 0, text: " word0" },
    { index: 1, text: " word1" },
  ],
  timeToFirstToken: 10,
  reconnects: 0,
  refusalCode: "",
};

const FAULTLESS_RUN: RunRecords = {
  results: [COMPLETE_RESULT],
  runCounts: [{ requestId: "r1-a", worker: "w1", count: 1 }],
  reclaimedServers: [{ worker: "w1", startedBeforeLimit: 4, startedAtEnd: 4 }],
  presetDelays: [20, 40],
  presetsAfterSwitch: ["peak"],
};

// A check that never fails would let the demo succeed with any of these faults.
const FAULTY_RUNS: readonly [string, RunRecords][] = [
  [
    "a lost response",
    { ...FAULTLESS_RUN, results: [{ ...COMPLETE_RESULT, outcome: RequestOutcome.Unanswered }] },
  ],
  ["a duplicate token", runWithTokens([" word0", " word0"])],
  ["a missing token", runWithTokens([" word0"])],
  [
    "a request reported as not run that did run",
    { ...FAULTLESS_RUN, results: [{ ...COMPLETE_RESULT, outcome: RequestOutcome.NotRun }] },
  ],
  [
    "a request run twice on one backend server",
    { ...FAULTLESS_RUN, runCounts: [{ requestId: "r1-a", worker: "w1", count: 2 }] },
  ],
  [
    "a request run on two backend servers",
    {
      ...FAULTLESS_RUN,
      runCounts: [...FAULTLESS_RUN.runCounts, { requestId: "r1-a", worker: "w2", count: 1 }],
    },
  ],
  [
    "a late dispatch to a reclaimed backend server",
    {
      ...FAULTLESS_RUN,
      reclaimedServers: [{ worker: "w1", startedBeforeLimit: 4, startedAtEnd: 5 }],
    },
  ],
  ["a preset in force too late", { ...FAULTLESS_RUN, presetDelays: [20, 5_001] }],
  ["a preset that reverted", { ...FAULTLESS_RUN, presetsAfterSwitch: ["peak", "day"] }],
];

function runWithTokens(texts: readonly string[]): RunRecords {
  const tokens = texts.map((text, index) => ({ index, text }));
  return { ...FAULTLESS_RUN, results: [{ ...COMPLETE_RESULT, tokens }] };
}

test("every guarantee holds for a run without faults", () => {
  expect(checkGuarantees(FAULTLESS_RUN).filter((check) => !check.held)).toEqual([]);
});

test.each(FAULTY_RUNS)("%s violates exactly one guarantee", (_name, records) => {
  expect(checkGuarantees(records).filter((check) => !check.held)).toHaveLength(1);
});

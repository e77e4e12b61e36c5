import { expect, test } from "vitest";
import { Fate } from "./judge.ts";
import type { ObservedAnswer } from "./rotas_connection.ts";
import type { RotaInstance, RotaLife } from "./rotas_fleet.ts";
import { judgeAnswer } from "./rotas_report.ts";
import { RotaService } from "./rotas_site.ts";
import type { RotaRun } from "./rotas_worker.ts";

const STOPPED_AT = 10_000;
const ADDRESS = "127.0.0.1:1";

const INSTANCE = { name: "edge", listen: { callers: ADDRESS } } as RotaInstance;
const LIFE: RotaLife = {
  instance: "edge",
  pid: 1,
  startedAt: 0,
  stoppedAt: STOPPED_AT,
  endedAt: STOPPED_AT + 3_400,
  exitCode: 0,
  isKilled: false,
  lines: [],
};

function cutAnswer(sentAfter: number, endedAfter: number): ObservedAnswer {
  return {
    id: "r",
    address: ADDRESS,
    sentAt: STOPPED_AT + sentAfter,
    endedAt: STOPPED_AT + endedAfter,
    status: 200,
    isWhole: false,
  } as ObservedAnswer;
}

function judgeCut(answer: ObservedAnswer, { isBrokenOff }: { isBrokenOff: boolean }) {
  const run: RotaRun = {
    id: "r",
    worker: "w",
    service: RotaService.Engine,
    peerPort: undefined,
    startedAt: answer.sentAt,
    endedAt: answer.endedAt,
    isWhole: false,
    isUnframed: false,
    isLast: false,
    eventsSent: 1,
    isBrokenOff,
  };
  const runs = new Map([["r", [run]]]);
  return judgeAnswer(answer, { instances: [INSTANCE], lives: [LIFE], runs });
}

// Guards against losses that the row overlooks because the machine's next process took the request.
test.each([
  ["to the next process", 5_000, 6_000, true],
  ["before SIGTERM", -500, 500, true],
  ["to the next process after the time of the rule", 9_100, 9_500, false],
  ["early and worked on at the end", 2_900, 7_400, false],
])("a request that was sent %s and cut is judged", (_, sentAfter, endedAfter, isLost) => {
  const judged = judgeCut(cutAnswer(sentAfter, endedAfter), { isBrokenOff: false });
  expect(judged).toMatchObject({ isLost, judgement: { fate: Fate.BrokenOff } });
});

// Otherwise workers that leave would be counted as losses of the instances.
test("a request that its worker broke off isn't lost", () => {
  expect(judgeCut(cutAnswer(500, 1_000), { isBrokenOff: true }).isLost).toBe(false);
});

import { expect, test } from "vitest";
import { RolloutFault, RolloutPhase } from "../decision/index.ts";
import { RolloutState } from "../interface/index.ts";
import { rolloutStatus } from "./rollout_status.ts";

const ROLLOUT = {
  entry: {
    order: { service: "model", to: "v2", duration: 12_000 },
    storeVersion: 4,
    status: { state: RolloutState.Running, to: "v2" },
  },
  state: RolloutState.Running,
  served: { base: "v1", tried: "v2" },
  startedAt: 1_000,
  phase: RolloutPhase.Trial,
  sent: { all: 90, tried: 3 },
};

test("shows an order with its elapsed time, request counts and verdict", () => {
  const verdict = {
    kind: "bad",
    fault: RolloutFault.SlowAnswers,
    route: "draft",
    evidence: 8.2,
  } as const;
  expect(rolloutStatus(ROLLOUT, { verdict, now: 5_500 })).toEqual({
    service: "model",
    to: "v2",
    base: "v1",
    state: "running",
    phase: "trial",
    since: 4_500,
    duration: 12_000,
    sent: 90,
    tried: 3,
    verdict: "slow-answers on draft",
    evidence: 8.2,
  });
});

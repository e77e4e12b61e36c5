import { judgeRollout, RolloutFault, sumCounts } from "../../src/decision/index.ts";
import type { RolloutJudge, RolloutVerdict, RunCounts } from "../../src/decision/index.ts";

/** How the workers of a version on trial are used. */
export type Ramp = "few" | "even";

/** Ways that are compared with those that run: each way of judging by its name. */
export const JUDGES: Readonly<Record<string, RolloutJudge>> = {
  ratio: judgeRollout,
  distance: judgeByDistance,
};

/** Runs of the new version before it is judged. */
const LEAST_RUNS = 20;
/** How far the new version's share of bad answers may be over the old one's. */
const DISTANCE = { failures: 0.02, times: 0.15 };

/** Judges by a fixed distance between the shares of bad answers, as soon as there are some runs. */
function judgeByDistance(routes: Parameters<RolloutJudge>[0]): RolloutVerdict {
  for (const [what, fault] of [
    ["answers", RolloutFault.Failures],
    ["times", RolloutFault.SlowAnswers],
  ] as const) {
    const base = sumCounts(routes.map((route) => route[what].base));
    const tried = sumCounts(routes.flatMap((route) => [...route[what].tried.values()]));
    if (tried.runs < LEAST_RUNS) continue;
    const excess = shareOf(tried) - shareOf(base);
    const most = what === "answers" ? DISTANCE.failures : DISTANCE.times;
    if (excess > most) return { kind: "bad", fault, route: "", evidence: excess };
  }
  return { kind: "open", evidence: 0 };
}

function shareOf({ runs, failures }: RunCounts): number {
  return failures / Math.max(1, runs);
}

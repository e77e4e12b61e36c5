import { judgeRollout, RolloutFault, sumCounts } from "../../src/decision/index.ts";
import type { RolloutJudge, RolloutVerdict, RunCounts } from "../../src/decision/index.ts";

/**
 * How requests are sent to a version on trial: "few" to the few backend servers on trial while their load is at
 * most the average, "even" a fixed share of the requests to all new backend servers.
 */
export type Ramp = "few" | "even";

/** Judges that are compared, by name: "ratio" is the one that the product uses. */
export const JUDGES: Readonly<Record<string, RolloutJudge>> = {
  ratio: judgeRollout,
  distance: judgeByDifference,
};

/** Minimum number of runs of the new version before it is judged. */
const MIN_RUNS = 20;
/** Maximum excess of the new version's share of failed and of slow answers over the old version's. */
const MAX_EXCESS = { failures: 0.02, times: 0.15 };

/** Judges by a fixed difference between the shares of bad answers, once there are enough runs. */
function judgeByDifference(routes: Parameters<RolloutJudge>[0]): RolloutVerdict {
  for (const [metric, fault] of [
    ["answers", RolloutFault.Failures],
    ["times", RolloutFault.SlowAnswers],
  ] as const) {
    const base = sumCounts(routes.map((route) => route[metric].base));
    const tried = sumCounts(routes.flatMap((route) => [...route[metric].tried.values()]));
    if (tried.runs < MIN_RUNS) continue;
    const excess = shareOf(tried) - shareOf(base);
    const maxExcess = metric === "answers" ? MAX_EXCESS.failures : MAX_EXCESS.times;
    if (excess > maxExcess) return { kind: "bad", fault, route: "", evidence: excess };
  }
  return { kind: "open", evidence: 0 };
}

function shareOf({ runs, failures }: RunCounts): number {
  return failures / Math.max(1, runs);
}

import { expect, test } from "vitest";
import type { ResponseHead } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { Delivery } from "../version/index.ts";
import { createAttempt } from "./routed_attempt.ts";
import type { Attempt } from "./routed_attempt.ts";
import { RunResult } from "./routed_context.ts";
import type { CandidateWorker } from "./routed_context.ts";
import { receiveHead } from "./routed_head.ts";
import { releaseReserve } from "./routed_run_state.ts";
import type { RoutedRunState } from "./routed_run_state.ts";

const ROUTE = { delivery: Delivery.Whole, latencyTarget: 100 };

// Guards against workers that count as failing, so that others get their load, after all of them stood still together.
test.each([
  { answersAfter: 50, result: RunResult.Failed },
  { answersAfter: 1_000, result: RunResult.Abandoned },
])(
  "a silent worker counts as $result if the next one answers after $answersAfter ms",
  async ({ answersAfter, result }) => {
    const clock = createVirtualClock();
    const results: RunResult[] = [];
    const createTestAttempt = (): Attempt => {
      const end = (ended: RunResult): void => void results.push(ended);
      const run = {
        end,
        recordResponse: () => undefined,
        recordSilence: () => undefined,
        recordFirstEvent: () => undefined,
      };
      return createAttempt({ id: "w" } as CandidateWorker, { run, now: clock.now(), wait: 0 });
    };
    const kept = createTestAttempt();
    const current = createTestAttempt();
    const state = {
      context: { clock, names: {}, recordStart: () => undefined },
      admitted: { arrival: { route: ROUTE } },
      response: { hasStarted: false },
      current,
      reserve: { attempt: kept, result: RunResult.Failed, isSilenceShared: false },
    } as unknown as RoutedRunState;
    await clock.advance(answersAfter);
    const head = { status: 200, headers: [], byName: new Map() } as unknown as ResponseHead;
    receiveHead(state, { attempt: current, head });
    releaseReserve(state);
    expect(results).toEqual([result]);
  },
);

import { expect, test } from "vitest";
import { createUsageLedger } from "../decision/index.ts";
import type { CallOutcome, ObjectStore, PutOutcome } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { createUsageTask } from "./usage_task.ts";

const WINDOW = 5_000;
/** The reporting window in which the tests start. */
const FIRST_WINDOW = 100;

interface TestSetup {
  readonly clock: ReturnType<typeof createVirtualClock>;
  readonly ledger: ReturnType<typeof createUsageLedger>;
  readonly reported: { window: number; counts: Readonly<Record<string, number>> }[];
  readonly logged: string[];
  /** Text and version of the record in the store. */
  readonly stored: { version: number; value: string };
  /** Outcomes of the next writes. `lost` means that the write is applied, but its response is lost. */
  readonly writes: ("lost" | "unavailable")[];
}

function startTask(stored = { version: 0, value: "" }): TestSetup {
  const clock = createVirtualClock();
  const ledger = createUsageLedger();
  const setup: TestSetup = { clock, ledger, reported: [], logged: [], stored, writes: [] };
  const store: Pick<ObjectStore, "get" | "put"> = {
    get: () =>
      Promise.resolve(
        stored.version === 0
          ? { kind: "absent" }
          : { kind: "found", object: { key: "usage", ...stored } },
      ),
    put: (_key, value, { expect: expected }): Promise<PutOutcome> => {
      const failure = setup.writes.shift();
      if (failure === "unavailable") return Promise.resolve({ kind: failure, detail: "down" });
      if (expected !== stored.version) return Promise.resolve({ kind: "conflict" });
      stored.version++;
      stored.value = value;
      return Promise.resolve(
        failure === "lost"
          ? { kind: "unknown", detail: "lost" }
          : { kind: "written", version: stored.version },
      );
    },
  };
  const accepted: CallOutcome = { kind: "accepted" };
  const task = createUsageTask({
    clock,
    store,
    platform: {
      orderWorkers: () => Promise.resolve(accepted),
      reportUsage: (report) => {
        // Windows before the start are also reported, without runs.
        if (report.window >= FIRST_WINDOW) setup.reported.push(report);
        return Promise.resolve(accepted);
      },
    },
    ledger,
    time: () => FIRST_WINDOW * WINDOW + clock.now(),
    windowLength: WINDOW,
    lateAfter: 10_000,
    fence: () => 1,
    holder: "e1",
    log: (step) => setup.logged.push(step),
  });
  task.start();
  return setup;
}

// The response to a store write is lost, and then more runs of the window are reported. If the later counts were sent,
// the window would be billed twice.
test("sends the stored counts even if the response to their write was lost", async () => {
  const { clock, ledger, reported, writes } = startTask();
  ledger.recordRun("a", FIRST_WINDOW);
  writes.push("lost");
  await clock.advance(WINDOW + 1_900);
  ledger.recordRun("a", FIRST_WINDOW);
  await clock.advance(2_000);
  expect(reported).toEqual([{ window: FIRST_WINDOW, counts: { a: 1 } }]);
});

// The store is unavailable for several checks. The report must be sent exactly once after it recovers.
test("reports a window after the store was unavailable", async () => {
  const { clock, ledger, reported, writes } = startTask();
  ledger.recordRun("a", FIRST_WINDOW);
  writes.push("unavailable", "unavailable", "unavailable");
  await clock.advance(WINDOW + 6_000);
  expect(reported).toEqual([{ window: FIRST_WINDOW, counts: { a: 1 } }]);
});

// The record is invalid, written by an older version or by an operator's mistake. The task must log it and continue. If
// the error stopped the task, nothing would be reported even after the record is corrected.
test("logs an unreadable record and resumes reporting after it is corrected", async () => {
  const stored = { version: 4, value: "not a record" };
  const { clock, ledger, reported, logged } = startTask(stored);
  ledger.recordRun("a", FIRST_WINDOW);
  await clock.advance(WINDOW + 3_000);
  expect(reported).toEqual([]);
  expect(logged).toContain("usage-record-unreadable");
  stored.value = '{"reports":[]}';
  await clock.advance(1_000);
  expect(reported).toEqual([{ window: FIRST_WINDOW, counts: { a: 1 } }]);
});

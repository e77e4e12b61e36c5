import { describe, expect, test } from "vitest";
import { Purchase, WorkerState } from "../interface/index.ts";
import { someWorkers } from "./testing/load_simulation.ts";
import { triage, TriageChoice } from "./triage.ts";
import type { TriageRequest, TriageView } from "./triage.ts";

function someRequest(changes: Partial<TriageRequest> = {}): TriageRequest {
  return {
    id: "script",
    repeatable: true,
    promptTokens: 1_000,
    producedTokens: 500,
    remainingTokens: 1_000,
    tokenTime: 30,
    deadlineAt: 3_600_000,
    ...changes,
  };
}

function someView(changes: Partial<TriageView> = {}): TriageView {
  return {
    now: 0,
    reclaimAt: 5_000,
    transferBytesPerSecond: 1_000_000_000,
    bytesPerToken: 100_000,
    targets: someWorkers(4),
    prefillPerSecond: 4_000,
    ...changes,
  };
}

function choices(
  requests: readonly TriageRequest[],
  view: Partial<TriageView> = {},
): TriageChoice[] {
  return triage(requests, someView(view)).map(({ choice }) => choice);
}

describe("triage", () => {
  test("exports the caches that can be sent in time, one after another", () => {
    // A worker with three long scripts gets five seconds of notice. If their caches were sent all
    // at once, they would share the rate, and a slow link would transfer none of them completely.
    const requests = ["a", "b", "c"].map((id) => someRequest({ id }));
    const chosen = triage(requests, someView());
    expect(chosen.map(({ choice }) => choice)).toEqual(Array(3).fill(TriageChoice.ExportCache));
    const begins = chosen.map(({ at }) => at ?? 0).sort((a, b) => a - b);
    expect((begins[1] ?? 0) - (begins[0] ?? 0)).toBeGreaterThan(150);
    expect(new Set(chosen.map(({ target }) => target)).size).toBe(3);
  });

  test("exports requests that may not be repeated first", () => {
    // The link has time for one cache only. A repeatable script can be computed again; the other
    // request can't, and would end with an unknown outcome.
    const requests = [
      someRequest({ id: "large", promptTokens: 4_000 }),
      someRequest({ id: "billed", repeatable: false }),
    ];
    expect(choices(requests, { transferBytesPerSecond: 60_000_000 })).toEqual([
      TriageChoice.ResumeNow,
      TriageChoice.ExportCache,
    ]);
  });

  test("without time for exports, requests that may not be repeated stay and the others move", () => {
    // With 300 ms of notice no cache can be sent. A second run of a non-repeatable request would be
    // billed twice.
    const requests = [someRequest({ repeatable: false }), someRequest({ id: "other" })];
    expect(choices(requests, { reclaimAt: 300 })).toEqual([
      TriageChoice.Stay,
      TriageChoice.ResumeNow,
    ]);
  });

  test("doesn't treat an answer beyond its estimate as nearly done", () => {
    // The estimate was 500 tokens, 1,500 have been produced, and one is reported to remain. If the
    // request stayed, it would be cut off with the instance and computed again.
    const beyond = someRequest({ producedTokens: 1_500, remainingTokens: 1 });
    const nearly = someRequest({ id: "nearly", producedTokens: 50, remainingTokens: 20 });
    expect(choices([beyond, nearly], { transferBytesPerSecond: 1 })).toEqual([
      TriageChoice.ResumeNow,
      TriageChoice.Finish,
    ]);
  });

  test("moves no request to a worker that will be reclaimed next", () => {
    // Zone 0 is being reclaimed: one of its workers has a notice, the other will get one in a
    // second. Work moved there would move again.
    const workers = someWorkers(6).map((worker, index) =>
      index === 0 ? { ...worker, state: WorkerState.Leaving, reclaimAt: 5_000 } : worker,
    );
    const workersWithNotice = workers.filter(({ reclaimAt }) => reclaimAt !== undefined);
    const requests = Array.from({ length: 12 }, (_, index) => someRequest({ id: `r${index}` }));
    const chosen = triage(requests, someView({ targets: workers, workersWithNotice }));
    expect(chosen.some(({ target }) => target === "w0" || target === "w4")).toBe(false);
    const onDemand = workers.map((worker) => ({ ...worker, purchase: Purchase.OnDemand }));
    const kept = triage(requests, someView({ targets: onDemand, workersWithNotice }));
    expect(kept.some(({ target }) => target === "w4")).toBe(true);
  });

  test("without capacity elsewhere, requests continue until the last moment", () => {
    // Every other worker is full. If the scripts moved at once, they would wait in a queue while
    // this worker is idle.
    const freeCacheTokens = new Map(someWorkers(4).map(({ id }) => [id, 0]));
    const [chosen] = triage([someRequest()], someView({ freeCacheTokens }));
    expect(chosen).toMatchObject({ choice: TriageChoice.ResumeLate, at: 4_500 });
  });
});

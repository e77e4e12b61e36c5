import { describe, expect, test } from "vitest";
import { Purchase, WorkerState } from "../interface/index.ts";
import { someWorkers } from "./testing/load_play.ts";
import { triage, TriageChoice } from "./triage.ts";
import type { Endangered, TriageView } from "./triage.ts";

function someRequest(changes: Partial<Endangered> = {}): Endangered {
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
    transferRate: 1_000_000_000,
    bytesPerToken: 100_000,
    targets: someWorkers(4),
    prefillPerSecond: 4_000,
    ...changes,
  };
}

function choices(requests: readonly Endangered[], view: Partial<TriageView> = {}): TriageChoice[] {
  return triage(requests, someView(view)).map(({ choice }) => choice);
}

describe("triage", () => {
  test("exports what can be sent in time, one after another", () => {
    // A worker with three long scripts gets five seconds of notice. Sent all at once, their caches would
    // share the rate, and a slow link would bring none of them across whole.
    const requests = ["a", "b", "c"].map((id) => someRequest({ id }));
    const chosen = triage(requests, someView());
    expect(chosen.map(({ choice }) => choice)).toEqual(Array(3).fill(TriageChoice.ExportCache));
    const begins = chosen.map(({ at }) => at ?? 0).sort((a, b) => a - b);
    expect((begins[1] ?? 0) - (begins[0] ?? 0)).toBeGreaterThan(150);
    expect(new Set(chosen.map(({ target }) => target)).size).toBe(3);
  });

  test("what may not be repeated is exported before all else", () => {
    // The link has time for one cache only. A repeatable script can be computed again; a billed summary
    // can't, and would end as one that may have run.
    const requests = [
      someRequest({ id: "large", promptTokens: 4_000 }),
      someRequest({ id: "billed", repeatable: false }),
    ];
    expect(choices(requests, { transferRate: 60_000_000 })).toEqual([
      TriageChoice.ResumeNow,
      TriageChoice.ExportCache,
    ]);
  });

  test("without time to export, what may not be repeated stays and the rest goes on elsewhere", () => {
    // A third of a second of notice: no cache can leave. A second run of an entry would make a club pay twice.
    const requests = [someRequest({ repeatable: false }), someRequest({ id: "other" })];
    expect(choices(requests, { reclaimAt: 300 })).toEqual([
      TriageChoice.Stay,
      TriageChoice.ResumeNow,
    ]);
  });

  test("an answer beyond its estimate isn't taken for nearly done", () => {
    // The estimate said 500 tokens, 1,500 have come, and one is said to remain. Left to finish, it is cut
    // with the instance and computed again.
    const beyond = someRequest({ producedTokens: 1_500, remainingTokens: 1 });
    const nearly = someRequest({ id: "nearly", producedTokens: 50, remainingTokens: 20 });
    expect(choices([beyond, nearly], { transferRate: 1 })).toEqual([
      TriageChoice.ResumeNow,
      TriageChoice.Finish,
    ]);
  });

  test("nothing moves onto what will be taken next", () => {
    // Zone 0 is being taken: one of its workers has notice, the other will have it in a second. Work that
    // moves there would move again.
    const workers = someWorkers(6).map((worker, index) =>
      index === 0 ? { ...worker, state: WorkerState.Leaving, reclaimAt: 5_000 } : worker,
    );
    const underNotice = workers.filter(({ reclaimAt }) => reclaimAt !== undefined);
    const requests = Array.from({ length: 12 }, (_, index) => someRequest({ id: `r${index}` }));
    const chosen = triage(requests, someView({ targets: workers, underNotice }));
    expect(chosen.some(({ target }) => target === "w0" || target === "w4")).toBe(false);
    const onDemand = workers.map((worker) => ({ ...worker, purchase: Purchase.OnDemand }));
    const kept = triage(requests, someView({ targets: onDemand, underNotice }));
    expect(kept.some(({ target }) => target === "w4")).toBe(true);
  });

  test("without room elsewhere, work goes on here until the last moment", () => {
    // Every other worker is full. Moved at once, scripts would wait in a line while this worker idles.
    const room = new Map(someWorkers(4).map(({ id }) => [id, 0]));
    const [chosen] = triage([someRequest()], someView({ room }));
    expect(chosen).toMatchObject({ choice: TriageChoice.ResumeLate, at: 4_500 });
  });
});

import { describe, expect, test } from "vitest";
import { Refusal } from "../interface/index.ts";
import { judgeArrival } from "./admission.ts";
import type { AdmissionView, Verdict } from "./admission.ts";

function someView(changes: Partial<AdmissionView> = {}): AdmissionView {
  return {
    now: 0,
    deadlineAt: 20_000,
    detached: false,
    estimate: { work: 50, serviceTime: 500 },
    target: { firstToken: 400, betweenTokens: 44, deadline: 20_000 },
    rate: 1_000,
    hasRoom: false,
    workers: 4,
    turn: 20,
    allWaitingJobs: 0,
    waitingWork: 0,
    ownWaitingWork: 0,
    weight: 1,
    activeWeight: 1,
    correction: 1,
    turnCorrection: 1,
    firstToken: 100,
    heldJobs: 0,
    heldWork: 0,
    bounds: { maxRequests: 100, maxTokens: 100_000 },
    promisedUntil: 0,
    ...changes,
  };
}

function reasonOf(verdict: Verdict): Refusal {
  return verdict.kind === "refuse" ? verdict.reason : Refusal.None;
}

function retryAfter(verdict: Verdict): number {
  return verdict.kind === "refuse" ? verdict.retryAfter : 0;
}

describe("admission", () => {
  test("a request that can't be in time is turned away at once, with a time that fits the load", () => {
    // Two seconds of the account's own work wait and 400 ms are allowed. Let in, it would be late; told to
    // come back after a fixed second, it would be turned away again.
    const verdict = judgeArrival(someView({ waitingWork: 2_000, ownWaitingWork: 2_000 }));
    expect(reasonOf(verdict)).toBe(Refusal.TooLate);
    expect(retryAfter(verdict)).toBeGreaterThan(1_600);
    expect(retryAfter(verdict)).toBeLessThan(2_500);
  });

  test("those turned away together aren't told to come back together", () => {
    const view = someView({ waitingWork: 2_000, ownWaitingWork: 2_000 });
    const first = retryAfter(judgeArrival(view));
    const second = retryAfter(judgeArrival({ ...view, promisedUntil: first }));
    expect(second - first).toBe(50);
  });

  test("an account waits behind its own work, not behind all of another's", () => {
    // Ten seconds of a large club's work wait. A small one's question is next in its own line.
    const view = someView({ waitingWork: 10_000, activeWeight: 2 });
    expect(judgeArrival(view).kind).toBe("admit");
    expect(judgeArrival({ ...view, ownWaitingWork: 10_000 }).kind).toBe("refuse");
  });

  test("detached work is let in up to its deadline, and without workers too", () => {
    const night = { detached: true, deadlineAt: 8 * 3_600_000 };
    const deep = { waitingWork: 1_000_000, ownWaitingWork: 1_000_000 };
    expect(judgeArrival(someView({ ...night, ...deep })).kind).toBe("admit");
    expect(judgeArrival(someView({ ...night, workers: 0, rate: 0 })).kind).toBe("admit");
    expect(reasonOf(judgeArrival(someView({ ...deep, detached: true })))).toBe(Refusal.TooLate);
    expect(reasonOf(judgeArrival(someView({ workers: 0 })))).toBe(Refusal.NoBackendServer);
  });

  test("an idle worker is used whatever was learned", () => {
    // A slow spell taught that first tokens take ten seconds. Were everything turned away for it, nothing
    // would ever teach that the spell is over.
    expect(judgeArrival(someView({ hasRoom: true, firstToken: 10_000 })).kind).toBe("admit");
  });

  test("an account's bounds count work as well as requests", () => {
    const bounds = { maxRequests: 10, maxTokens: 1_000 };
    const few = someView({ hasRoom: true, bounds, heldJobs: 2, heldWork: 990 });
    expect(reasonOf(judgeArrival(few))).toBe(Refusal.AccountLimit);
    const many = someView({ hasRoom: true, bounds, heldJobs: 10, heldWork: 10 });
    expect(reasonOf(judgeArrival(many))).toBe(Refusal.AccountLimit);
    const full = someView({ hasRoom: true, allWaitingJobs: 10_000 });
    expect(reasonOf(judgeArrival(full))).toBe(Refusal.QueueFull);
  });
});

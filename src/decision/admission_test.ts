import { describe, expect, test } from "vitest";
import { Refusal } from "../interface/index.ts";
import { decideAdmission } from "./admission.ts";
import type { AdmissionView, AdmissionDecision } from "./admission.ts";

function someView(changes: Partial<AdmissionView> = {}): AdmissionView {
  return {
    now: 0,
    deadlineAt: 20_000,
    detached: false,
    estimate: { work: 50, serviceTime: 500 },
    target: { firstToken: 400, betweenTokens: 44, deadline: 20_000 },
    rate: 1_000,
    hasFreeSlot: false,
    liveWorkers: 4,
    freeSlotInterval: 20,
    totalWaitingJobs: 0,
    waitingWork: 0,
    accountWaitingWork: 0,
    weight: 1,
    activeWeight: 1,
    queueCorrection: 1,
    freeSlotCorrection: 1,
    firstTokenLatency: 100,
    accountJobs: 0,
    accountWork: 0,
    limits: { maxRequests: 100, maxTokens: 100_000 },
    reservedUntil: 0,
    ...changes,
  };
}

function reasonOf(decision: AdmissionDecision): Refusal {
  return decision.kind === "refuse" ? decision.reason : Refusal.None;
}

function retryAfter(decision: AdmissionDecision): number {
  return decision.kind === "refuse" ? decision.retryAfter : 0;
}

describe("admission", () => {
  test("refuses a request that can't be in time, with a retry delay that fits the load", () => {
    // Two seconds of the account's own work wait and 400 ms are allowed. An accepted request would
    // be late; with a fixed retry delay of one second it would be refused again.
    const decision = decideAdmission(someView({ waitingWork: 2_000, accountWaitingWork: 2_000 }));
    expect(reasonOf(decision)).toBe(Refusal.TooLate);
    expect(retryAfter(decision)).toBeGreaterThan(1_600);
    expect(retryAfter(decision)).toBeLessThan(2_500);
  });

  test("spaces the retry delays of requests refused at the same time", () => {
    const view = someView({ waitingWork: 2_000, accountWaitingWork: 2_000 });
    const first = retryAfter(decideAdmission(view));
    const second = retryAfter(decideAdmission({ ...view, reservedUntil: first }));
    expect(second - first).toBe(50);
  });

  test("an account waits behind its own work, not behind all work of another account", () => {
    // Ten seconds of another account's work wait. The small account's request is next in its own
    // queue.
    const view = someView({ waitingWork: 10_000, activeWeight: 2 });
    expect(decideAdmission(view).kind).toBe("admit");
    expect(decideAdmission({ ...view, accountWaitingWork: 10_000 }).kind).toBe("refuse");
  });

  test("accepts detached work up to its deadline, also without workers", () => {
    const overnight = { detached: true, deadlineAt: 8 * 3_600_000 };
    const backlog = { waitingWork: 1_000_000, accountWaitingWork: 1_000_000 };
    expect(decideAdmission(someView({ ...overnight, ...backlog })).kind).toBe("admit");
    expect(decideAdmission(someView({ ...overnight, liveWorkers: 0, rate: 0 })).kind).toBe("admit");
    expect(reasonOf(decideAdmission(someView({ ...backlog, detached: true })))).toBe(
      Refusal.TooLate,
    );
    expect(reasonOf(decideAdmission(someView({ liveWorkers: 0 })))).toBe(Refusal.NoBackendServer);
  });

  test("uses an idle worker whatever latency was learned", () => {
    // After a slow period the learned time to first token is ten seconds. If every request were
    // refused because of it, no sample would ever show that the period is over.
    expect(decideAdmission(someView({ hasFreeSlot: true, firstTokenLatency: 10_000 })).kind).toBe(
      "admit",
    );
  });

  test("an account's limits apply to work as well as to requests", () => {
    const limits = { maxRequests: 10, maxTokens: 1_000 };
    const few = someView({ hasFreeSlot: true, limits, accountJobs: 2, accountWork: 990 });
    expect(reasonOf(decideAdmission(few))).toBe(Refusal.AccountLimit);
    const many = someView({ hasFreeSlot: true, limits, accountJobs: 10, accountWork: 10 });
    expect(reasonOf(decideAdmission(many))).toBe(Refusal.AccountLimit);
    const full = someView({ hasFreeSlot: true, totalWaitingJobs: 10_000 });
    expect(reasonOf(decideAdmission(full))).toBe(Refusal.QueueFull);
  });
});

import { describe, expect, test } from "vitest";
import { createSeededRandom, RetryCause } from "../interface/index.ts";
import type { Job } from "./job.ts";
import { createRetryBudget, decideRetry } from "./retry_budget.ts";
import type { RetryDecision, RetryBudget } from "./retry_budget.ts";
import { someArrival } from "./testing/load_simulation.ts";

const random = createSeededRandom(1);

function createJob(changes: Partial<Job> = {}): Job {
  const estimate = { work: 50, answerTokens: 20, cacheTokens: 220, serviceTime: 500 };
  return { ...someArrival(), estimate, resumedTokens: 0, ...changes };
}

function decide(
  job: Job,
  { budget = createRetryBudget(), cause = RetryCause.BackendError, failures = 1, now = 0 } = {},
): RetryDecision {
  return decideRetry(job, { cause, failures, budget, now, random });
}

function countRetries(budget: RetryBudget, job: Job, failures: number): number {
  const all = Array.from({ length: failures }, () => decide(job, { budget }));
  return all.filter(({ kind }) => kind === "retry").length;
}

describe("retries", () => {
  test("limits retries in an outage to a tenth of the load", () => {
    // All servers of a service fail for a while. Three attempts per request would triple the load
    // on servers that are already overloaded.
    const budget = createRetryBudget();
    for (let index = 0; index < 500; index++) budget.recordSuccess(createJob());
    expect(countRetries(budget, createJob(), 1_000)).toBeLessThanOrEqual(60);
  });

  test("keeps one account's failing requests from using up the retries of others", () => {
    const budget = createRetryBudget();
    for (let index = 0; index < 500; index++) budget.recordSuccess(createJob({ account: "tent" }));
    expect(countRetries(budget, createJob({ account: "club" }), 1_000)).toBe(10);
    expect(countRetries(budget, createJob({ account: "tent" }), 20)).toBe(20);
  });

  test("never repeats a job that may have run and must not run twice", () => {
    // The server disconnected after the request was sent. A second run would be billed twice.
    const once = createJob({ repeatable: false });
    expect(decide(once, { cause: RetryCause.WorkerLost }).kind).toBe("stop");
    expect(decide(once, { cause: RetryCause.SilentConnection }).kind).toBe("stop");
    expect(decide(once, { cause: RetryCause.ConnectFailed }).kind).toBe("retry");
  });

  test("charges no budget for an announced reclaim", () => {
    const budget = createRetryBudget();
    countRetries(budget, createJob(), 50);
    expect(decide(createJob(), { budget, cause: RetryCause.WorkerReclaimed })).toEqual({
      kind: "retry",
      delay: 0,
    });
  });

  test("without budget, delays detached work and stops other work immediately", () => {
    const budget = createRetryBudget();
    countRetries(budget, createJob(), 50);
    const detached = decide(createJob({ detached: true }), { budget });
    expect(detached.kind === "retry" && detached.delay >= 10_000).toBe(true);
    expect(decide(createJob(), { budget }).kind).toBe("stop");
  });

  test("spreads and increases delays, and stops at the deadline", () => {
    const job = createJob({ deadlineAt: 100_000 });
    const delays = Array.from({ length: 100 }, () => {
      const retry = decide(job, { failures: 4 });
      return retry.kind === "retry" ? retry.delay : 0;
    });
    expect(Math.min(...delays)).toBeLessThan(40);
    expect(Math.max(...delays)).toBeGreaterThan(300);
    expect(Math.max(...delays)).toBeLessThanOrEqual(400);
    expect(decide(job, { now: 100_000 }).kind).toBe("stop");
  });
});

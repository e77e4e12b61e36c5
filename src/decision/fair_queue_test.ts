import PQueue from "p-queue";
import { describe, expect, test } from "vitest";
import { createFairQueueClass } from "./fair_queue.ts";
import type { FairQueue, FairQueueEntry, FairQueueOptions, FairRun } from "./fair_queue.ts";
import { Lane } from "./job.ts";
import type { Job } from "./job.ts";
import { someArrival } from "./testing/load_play.ts";

function someJob(changes: Partial<Job> & { work?: number }): Job {
  const work = changes.work ?? 100;
  const estimate = { work, answerTokens: work, cacheTokens: work, serviceTime: work };
  return { ...someArrival(), estimate, resumedTokens: 0, ...changes };
}

function someQueue(options: Partial<FairQueueOptions> = {}): FairQueue<Job> {
  return new (createFairQueueClass<Job>({ weightOf: () => 1, ...options }))();
}

function fill(queue: FairQueue<Job>, count: number, of: Partial<Job> & { work?: number }): void {
  for (let index = 0; index < count; index++) {
    const job = someJob({ ...of, id: `${of.account ?? ""}-${index}` });
    queue.enqueue(job, { id: job.id, job });
  }
}

/** Dequeues jobs until the given amount of work is reached; returns the work by account. */
function drain(queue: FairQueue<Job>, work: number): Record<string, number> {
  const done: Record<string, number> = {};
  for (let sum = 0; sum < work;) {
    const job = queue.dequeue();
    if (job === undefined) break;
    sum += job.estimate.work;
    done[job.account] = (done[job.account] ?? 0) + job.estimate.work;
  }
  return done;
}

describe("fair queue", () => {
  test("shares work instead of requests between accounts", () => {
    // One account sends few long jobs, another many short ones. If requests were counted, the long
    // jobs would get twenty times the tokens.
    const queue = someQueue();
    fill(queue, 100, { account: "long", work: 2_000 });
    fill(queue, 2_000, { account: "short", work: 100 });
    const done = drain(queue, 100_000);
    expect((done["long"] ?? 0) / (done["short"] ?? 1)).toBeCloseTo(1, 1);
  });

  test("shares work in proportion to the weights", () => {
    const queue = someQueue({ weightOf: (account) => (account === "large" ? 3 : 1) });
    fill(queue, 500, { account: "large" });
    fill(queue, 500, { account: "small" });
    const done = drain(queue, 40_000);
    expect((done["large"] ?? 0) / (done["small"] ?? 1)).toBeCloseTo(3, 0);
  });

  test("an account that arrives late doesn't wait for all work of an earlier one", () => {
    // A thousand scripts were sent at midnight; one script arrives at six and must not wait for them.
    const queue = someQueue();
    fill(queue, 1_000, { account: "early" });
    drain(queue, 10_000);
    fill(queue, 1, { account: "late" });
    expect(drain(queue, 200)["late"]).toBe(100);
  });

  test("the earliest deadline goes first within an account", () => {
    const queue = someQueue();
    for (const deadlineAt of [300, 100, 200]) {
      const job = someJob({ deadlineAt, id: `d${deadlineAt}` });
      queue.enqueue(job, { id: job.id, job });
    }
    expect([1, 2, 3].map(() => queue.dequeue()?.deadlineAt)).toEqual([100, 200, 300]);
  });

  test("charges the real answer lengths to an account that understates them", () => {
    // Both accounts state 100 tokens per job, but one of them receives 500 each time. Without the
    // charge it would get five times the other's share.
    const excessWork = new Map<string, number>();
    const takeExcessWork = (account: string): number => {
      const excess = excessWork.get(account) ?? 0;
      excessWork.delete(account);
      return excess;
    };
    const queue = someQueue({ takeExcessWork });
    fill(queue, 1_000, { account: "honest" });
    fill(queue, 1_000, { account: "understating" });
    const used = { honest: 0, understating: 0 };
    for (let index = 0; index < 600; index++) {
      const account = queue.dequeue()?.account as keyof typeof used;
      used[account] += account === "honest" ? 100 : 500;
      if (account === "understating") excessWork.set(account, (excessWork.get(account) ?? 0) + 400);
    }
    expect(used.understating / used.honest).toBeLessThan(1.1);
  });

  test("lookups go before scripts, and scripts still start under any load of lookups", () => {
    // An endless sequence of lookups must not prevent scripts from starting.
    const queue = someQueue();
    fill(queue, 2_000, { account: "desk", lane: Lane.Lookup, work: 50 });
    fill(queue, 200, { account: "reels", lane: Lane.Script, work: 1_000 });
    const done = drain(queue, 50_000);
    expect((done["reels"] ?? 0) / 50_000).toBeCloseTo(0.2, 1);
  });

  test("a lane that may not start blocks no other lane and is not counted", () => {
    // No worker has a free slot for scripts. If the queue returned a script anyway, p-queue would
    // start it, and the lookup behind it would wait.
    const queue = someQueue({ canStart: (lane) => lane === Lane.Lookup });
    fill(queue, 2, { account: "reels", lane: Lane.Script });
    expect([queue.size, queue.waiting, queue.dequeue()]).toEqual([0, 2, undefined]);
    fill(queue, 1, { account: "desk" });
    expect(queue.size).toBe(1);
    expect(queue.dequeue()?.account).toBe("desk");
  });

  test("a removed job is never dequeued", () => {
    const queue = someQueue();
    fill(queue, 3, { account: "a" });
    queue.remove("a-0");
    queue.remove("unknown");
    expect(
      queue
        .filter({})
        .map(({ id }) => id)
        .sort(),
    ).toEqual(["a-1", "a-2"]);
    expect([queue.dequeue()?.id, queue.dequeue()?.id, queue.dequeue()]).toEqual([
      "a-1",
      "a-2",
      undefined,
    ]);
    expect(queue.size).toBe(0);
  });

  test("works as the queue class of p-queue", async () => {
    const queueClass = createFairQueueClass({ weightOf: () => 1 });
    const options = { queueClass, concurrency: 1, autoStart: false };
    const queue = new PQueue<FairQueue<FairRun>, FairQueueEntry>(options);
    const order: string[] = [];
    const add = (job: Job): Promise<void> =>
      queue.add(
        () => {
          order.push(job.account);
        },
        { id: job.id, job },
      );
    const added = ["a", "a", "a", "b"].map((account, index) =>
      add(someJob({ account, id: `${index}` })),
    );
    queue.start();
    await Promise.all(added);
    expect(order.indexOf("b")).toBeLessThan(2);
  });
});

import { describe, expect, test } from "vitest";
import { createSeededRandom, Refusal, RetryCause, WorkerState } from "../interface/index.ts";
import { createScheduler, Lane, RunEnd } from "./index.ts";
import type { Admission, Job, Scheduler } from "./index.ts";
import {
  firstTokenTimes,
  percentile,
  simulateLoad,
  someArrival,
  someWorkers,
  generateArrivals,
  TEST_POLICY,
} from "./testing/load_simulation.ts";
import type { SimulatedRequest, SimulatedArrival } from "./testing/load_simulation.ts";

const MINUTE = 60_000;
const HOURS = 8 * 3_600_000;
const TARGET = 400;

/** Long detached work of the account `tent`. */
const SCRIPT: Partial<SimulatedArrival> = {
  lane: Lane.Script,
  account: "tent",
  detached: true,
  promptTokens: 1_000,
  answerTokens: 2_000,
  deadlineAt: HOURS,
};

function simulate(
  arrivals: readonly SimulatedArrival[],
  changes: Partial<Parameters<typeof simulateLoad>[0]> = {},
): SimulatedRequest[] {
  const workers = someWorkers(4);
  return simulateLoad({
    policy: TEST_POLICY,
    workers,
    arrivals,
    duration: MINUTE,
    seed: 1,
    ...changes,
  });
}

function lookups(perSecond: number, seed = 2): SimulatedArrival[] {
  return generateArrivals(perSecond, { from: 0, until: MINUTE, seed, name: "lookup" });
}

function named(simulated: readonly SimulatedRequest[], name: string): SimulatedRequest[] {
  return simulated.filter(({ arrival }) => arrival.id.startsWith(name));
}

function inTime(simulated: readonly SimulatedRequest[]): number {
  return firstTokenTimes(simulated, "").filter((time) => time <= TARGET).length;
}

describe.each([1, 6])("under load, with %i entry instances", (instances) => {
  test("lookups among long scripts wait no longer than alone", () => {
    // Lookups arrive while ten scripts per second are sent, four times the capacity of the workers.
    // In one queue the lookups would wait behind minutes of scripts.
    const scripts = generateArrivals(10, {
      from: 0,
      until: MINUTE,
      seed: 3,
      name: "script",
      of: SCRIPT,
    });
    const alone = simulate(lookups(20), { instances });
    const mixed = simulate([...scripts, ...lookups(20)], { instances });
    expect(named(mixed, "lookup").every(({ refused }) => refused === Refusal.None)).toBe(true);
    const p99Alone = percentile(firstTokenTimes(alone, "lookup"), 0.99);
    const p99Mixed = percentile(firstTokenTimes(mixed, "lookup"), 0.99);
    expect(p99Mixed).toBeLessThan(p99Alone * 1.4);
    expect(firstTokenTimes(mixed, "script").length).toBeGreaterThan(60);
  });

  test("at twice the capacity the workers still answer as many requests in time", () => {
    // Lookups arrive at twice the capacity of the workers. If all were accepted, all would be late.
    // Half of them must be refused at once with a retry delay, and the other half answered in time.
    const atCapacity = inTime(simulate(lookups(150), { instances }));
    const flooded = simulate(lookups(320), { instances });
    const refused = flooded.filter((one) => one.refused !== Refusal.None);
    expect(inTime(flooded)).toBeGreaterThan(0.93 * atCapacity);
    expect(refused.length).toBeGreaterThan(0.4 * flooded.length);
    expect(refused.every(({ retryAfter }) => retryAfter >= 250)).toBe(true);
    const accepted = flooded.filter((one) => one.refused === Refusal.None);
    const early = accepted.filter(({ arrival }) => arrival.arrivedAt < MINUTE - 2_000);
    expect(early.every(({ endedAt }) => endedAt !== undefined)).toBe(true);
  });

  test("spreads a burst over all workers", () => {
    // 100 requests arrive in a tenth of a second, all within one report interval. If only reports
    // were used, all would go to the worker that looked idle, and wait there for seconds.
    const burst = generateArrivals(1_000, { from: 5_000, until: 5_100, seed: 4, name: "burst" });
    const simulated = simulate([...burst, ...lookups(10)], { instances });
    const perWorker = someWorkers(4).map(
      ({ id }) => named(simulated, "burst").filter(({ worker }) => worker === id).length,
    );
    expect(Math.max(...perWorker)).toBeLessThan(40);
    const times = firstTokenTimes(simulated, "burst");
    expect(times).toHaveLength(100);
    expect(percentile(times, 0.95)).toBeLessThan(TARGET * 2.5);
  });

  test("an account that floods the service doesn't delay another", () => {
    // One account sends ten times its share while a small one sends a few requests. The small one
    // must not be refused or wait for the large account's backlog.
    const flood = generateArrivals(300, { from: 0, until: MINUTE, seed: 5, name: "flood" });
    const own = { account: "tent" };
    const small = generateArrivals(10, { from: 0, until: MINUTE, seed: 6, name: "small", of: own });
    const simulated = simulate([...flood, ...small], { instances });
    const kept = named(simulated, "small").filter(({ refused }) => refused === Refusal.None);
    expect(kept.length).toBeGreaterThan(0.95 * small.length);
    expect(percentile(firstTokenTimes(simulated, "small"), 0.95)).toBeLessThan(TARGET);
  });

  test("a slow worker gets few jobs, and its full share soon after it recovers", () => {
    // One backend server runs five times slower for 20 s. Requests placed there would wait. After
    // its recovery it must not stay unused.
    const slowness = (worker: string, now: number): number =>
      worker === "w0" && now > 10_000 && now < 30_000 ? 5 : 1;
    const limits: number[] = [];
    const observe = (now: number, [first]: readonly Scheduler[]): void => {
      const snapshot = first?.snapshot(now).workers.find(({ worker }) => worker === "w0");
      limits.push(snapshot?.limit ?? 0);
    };
    const simulated = simulate(lookups(60), { instances, slowness, observe });
    expect(percentile(firstTokenTimes(simulated, "lookup"), 0.95)).toBeLessThan(TARGET);
    expect(Math.min(...limits.slice(15, 30))).toBeLessThanOrEqual(5);
    expect(limits[50]).toBeGreaterThan(10);
  });
});

test("spreads a popular prefix over several workers", () => {
  // Every request begins with the same prefix. If requests went only where it is cached, one worker
  // would run all of them while three are idle.
  const of = { prefix: ["a", "b", "c", "d"], promptTokens: 800 };
  const hot = generateArrivals(80, { from: 0, until: MINUTE, seed: 7, name: "hot", of });
  const simulated = simulate(hot);
  const used = someWorkers(4).map(
    ({ id }) => simulated.filter(({ worker }) => worker === id).length,
  );
  expect(Math.max(...used) / simulated.length).toBeLessThan(0.6);
  expect(percentile(firstTokenTimes(simulated, "hot"), 0.95)).toBeLessThan(TARGET);
});

describe("single decisions", () => {
  const random = createSeededRandom(1);

  function ready(workers = someWorkers(4)): Scheduler {
    const scheduler = createScheduler(TEST_POLICY);
    scheduler.setWorkers(workers, 0);
    return scheduler;
  }

  function jobOf(admission: Admission): Job {
    if (admission.kind === "refused") throw new Error(`Refused: ${admission.reason}.`);
    return admission.job;
  }

  function placed(scheduler: Scheduler, job: Job, now: number): string {
    const placement = scheduler.place(job, { now, random, avoid: new Set() });
    return placement.kind === "placed" ? placement.worker : "none";
  }

  test("a leaving worker gets no jobs", () => {
    // Three of four workers have a reclaim notice; jobs sent to them would be lost within seconds.
    const workers = someWorkers(4).map((worker, index) =>
      index === 2 ? worker : { ...worker, state: WorkerState.Leaving, reclaimAt: 5_000 },
    );
    const scheduler = ready(workers);
    for (let index = 0; index < 20; index++) {
      const job = jobOf(scheduler.admit(someArrival({ id: `r${index}` }), 0));
      expect(placed(scheduler, job, 0)).toBe("w2");
    }
  });

  test("a job is never placed again on a worker on which it failed", () => {
    // A request that a worker can't process would fail there again, however idle the worker looks.
    const scheduler = ready(someWorkers(2));
    const job = jobOf(scheduler.admit(someArrival(), 0));
    const first = placed(scheduler, job, 0);
    const details = { now: 10, answerTokens: 0, cause: RetryCause.BackendError };
    scheduler.runEnded(job.id, RunEnd.Failed, details);
    const second = placed(scheduler, job, 20);
    expect([first, second].sort()).toEqual(["w0", "w1"]);
    scheduler.runEnded(job.id, RunEnd.Failed, { ...details, now: 30 });
    expect(placed(scheduler, job, 40)).toBe("none");
  });

  test("an ended job no longer counts against its account's limits", () => {
    const policy = {
      ...TEST_POLICY,
      accounts: { club: { weight: 1, maxRequests: 1, maxTokens: 1_000_000 } },
    };
    const scheduler = createScheduler(policy);
    scheduler.setWorkers(someWorkers(1), 0);
    const job = jobOf(scheduler.admit(someArrival({ id: "first" }), 0));
    const second = scheduler.admit(someArrival({ id: "second" }), 0);
    expect(second).toMatchObject({ kind: "refused", reason: Refusal.AccountLimit });
    placed(scheduler, job, 0);
    scheduler.runEnded(job.id, RunEnd.Complete, { now: 10, answerTokens: 1 });
    scheduler.jobEnded(job, 10);
    expect(scheduler.admit(someArrival({ id: "third" }), 20).kind).toBe("admitted");
    expect(scheduler.snapshot(20).services[0]).toMatchObject({ waitingJobs: 1, runningJobs: 0 });
  });

  test("sends a lookup with a late first token to a second worker, once", () => {
    // A worker stalls. Its lookups would wait with it although another worker has free slots.
    const scheduler = ready();
    for (let index = 0; index < 50; index++) {
      const job = jobOf(scheduler.admit(someArrival({ id: `r${index}` }), index));
      placed(scheduler, job, index);
      scheduler.recordFirstToken(job.id, index + 50);
      scheduler.runEnded(job.id, RunEnd.Complete, { now: index + 60, answerTokens: 2 });
      scheduler.jobEnded(job, index + 60);
    }
    const late = jobOf(scheduler.admit(someArrival({ id: "late" }), 1_000));
    const first = placed(scheduler, late, 1_000);
    const options = { random, avoid: new Set<string>(), dispatchedAt: 1_000 };
    expect(scheduler.hedge(late, { ...options, now: 1_010 }).kind).toBe("later");
    const hedge = scheduler.hedge(late, { ...options, now: 1_200 });
    expect(hedge.kind === "hedge" && hedge.worker !== first).toBe(true);
    expect(scheduler.hedge(late, { ...options, now: 1_300 }).kind).toBe("none");
  });

  test("counts an inherited job and never refuses it", () => {
    // Another entry instance accepted the request before this one took it over; refusing it now
    // would lose it.
    const scheduler = ready([]);
    const job = scheduler.adopt(someArrival({ id: "inherited" }), 0);
    expect(placed(scheduler, job, 0)).toBe("none");
    scheduler.setWorkers(someWorkers(1), 10);
    expect(placed(scheduler, job, 10)).toBe("w0");
  });
});

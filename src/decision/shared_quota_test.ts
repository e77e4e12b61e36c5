import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import { QuotaUnit } from "../version/index.ts";
import type { Quota } from "../version/index.ts";
import { createSharedQuota } from "./shared_quota.ts";

const QUOTA: Quota = {
  unit: QuotaUnit.Tokens,
  perSecond: 10_000,
  burst: 10_000,
  unstatedTokens: 200,
};

/**
 * Simulates `instances` that each send `size` every `step` ms and exchange reports every
 * `reportInterval` ms.
 */
function simulate(options: {
  instances: number;
  size: number;
  step: number;
  length: number;
  arePartitioned?: boolean;
  reportInterval?: number;
}): number {
  const { reportInterval = 250 } = options;
  const quotas = Array.from({ length: options.instances }, () => createSharedQuota(0));
  let admitted = 0;
  for (let now = 60_000; now < 60_000 + options.length; now += options.step) {
    for (const quota of quotas) {
      const wait = quota.take({ account: "a", quota: QUOTA, size: options.size, now });
      if (wait === 0) admitted += options.size;
    }
    if (now % reportInterval !== 0) continue;
    quotas.forEach((quota, index) => {
      const otherQuotas = quotas.filter((_, other) => other !== index);
      const members = options.instances;
      quota.setReachability({ reachable: options.arePartitioned === true ? 1 : members, members });
      if (options.arePartitioned === true) return;
      const report = new Map(quota.createReport(now));
      otherQuotas.forEach((other) =>
        other.receiveReport(String(index), { admitted: report, age: now }),
      );
    });
  }
  return admitted;
}

// One account sends many times its usual number of requests over all instances. If each instance
// enforced the whole quota, the account would get six times its quota and fill the service.
test("admits the quota once over six instances", () => {
  const admitted = simulate({ instances: 6, size: 500, step: 50, length: 8_000 });
  const allowed = QUOTA.perSecond * 8 + QUOTA.burst;
  expect(admitted).toBeGreaterThan(allowed * 0.85);
  // Reports between instances are at most 250 ms old.
  expect(admitted).toBeLessThan(allowed * 1.05 + 6 * 500);
});

// Reports between instances have a byte budget and are less frequent under load. Meanwhile an
// account at its limit must neither get much more than its quota nor be refused what is refilled.
test("admits about the same amount with less frequent reports", () => {
  const allowed = QUOTA.perSecond * 8 + QUOTA.burst;
  for (const [size, step] of [
    [500, 50],
    [100, 50],
    [2_000, 250],
  ] as const) {
    const admitted = simulate({ instances: 6, size, step, length: 8_000, reportInterval: 750 });
    expect(admitted).toBeGreaterThan(allowed * 0.85);
    expect(admitted).toBeLessThan(allowed * 1.1 + 6 * size);
  }
});

// An account sends exactly its quota, to changing instances. Refusals while an instance waits for
// reports from the others would cut into the account's quota.
test("admits an account's whole quota even if reports are infrequent", () => {
  const random = createSeededRandom(1);
  const quotas = Array.from({ length: 6 }, () => createSharedQuota(0));
  const size = 1_000;
  const step = (size / QUOTA.perSecond) * 1_000;
  let admitted = 0;
  let requested = 0;
  for (let now = 60_000; now < 90_000; now += step) {
    const quota = quotas[Math.floor(random.next() * quotas.length)];
    requested += size;
    if (quota?.take({ account: "a", quota: QUOTA, size, now }) === 0) admitted += size;
    if (now % 700 !== 0) continue;
    for (const [index, from] of quotas.entries()) {
      from.setReachability({ reachable: 6, members: 6 });
      const report = new Map(from.createReport(now));
      for (const to of quotas)
        if (to !== from) to.receiveReport(String(index), { admitted: report, age: now });
    }
  }
  expect(admitted / requested).toBeGreaterThan(0.98);
});

// All instances restart at once while an account sends many times its quota. None has data about
// what the others admit until it receives their reports, and what was admitted until then must
// still be deducted.
test("admits little more than one quota at instances that start together", () => {
  const instances = 6;
  const quotas = Array.from({ length: instances }, () => createSharedQuota(0));
  const account = { name: "a", quota: QUOTA };
  for (const quota of quotas) {
    quota.setReachability({ reachable: 1, members: 4 });
    quota.addAccounts([account], 0);
  }
  let admitted = 0;
  const length = 4_000;
  for (let now = 0; now < length; now += 10) {
    for (const quota of quotas) {
      if (quota.take({ account: "a", quota: QUOTA, size: 500, now }) === 0) admitted += 500;
    }
    if (now % 500 !== 400) continue;
    for (const [index, from] of quotas.entries()) {
      from.setReachability({ reachable: instances, members: instances });
      const report = { admitted: new Map(from.createReport(now)), age: now };
      for (const to of quotas) if (to !== from) to.receiveReport(String(index), report);
    }
  }
  expect(admitted).toBeLessThan((QUOTA.perSecond * length) / 1_000 + QUOTA.burst + 6 * 500);
});

// The network between the instances is partitioned, but callers and workers reach all of them.
test("admits about one quota at instances that cannot reach each other", () => {
  const admitted = simulate({
    instances: 6,
    size: 500,
    step: 50,
    length: 8_000,
    arePartitioned: true,
  });
  // Each instance starts with the burst that was available before the partition.
  expect(admitted).toBeLessThan(QUOTA.perSecond * 8 + 6 * QUOTA.burst + 6 * 500);
});

test("admits the whole quota of an account at a single instance", () => {
  const quota = createSharedQuota(0);
  quota.setReachability({ reachable: 6, members: 6 });
  let admitted = 0;
  for (let now = 60_000; now < 68_000; now += 20) {
    if (quota.take({ account: "a", quota: QUOTA, size: 500, now }) === 0) admitted += 500;
    if (now % 240 === 0) quota.createReport(now);
  }
  expect(admitted).toBeGreaterThanOrEqual(QUOTA.perSecond * 7.9 + QUOTA.burst * 0.9);
});

// An account at its limit sends small and large requests. If requests had to fit the remaining
// level, the small ones would take every token as it is refilled, and the large ones would always
// be refused.
test("admits large requests next to small ones", () => {
  const quota = createSharedQuota(0);
  const admitted = { small: 0, large: 0 };
  const requested = { small: 0, large: 0 };
  for (let now = 60_000; now < 90_000; now += 20) {
    const kind = (now / 20) % 5 === 0 ? "large" : "small";
    requested[kind]++;
    const size = kind === "large" ? 5_000 : 200;
    if (quota.take({ account: "a", quota: QUOTA, size, now }) === 0) admitted[kind]++;
    if (now % 240 === 0) quota.createReport(now);
  }
  expect(admitted.large / requested.large).toBeGreaterThan(admitted.small / requested.small / 2);
});

test("returns the time after which a refused request is admitted", () => {
  const quota = createSharedQuota(0);
  quota.setReachability({ reachable: 1, members: 1 });
  const request = (now: number): number =>
    quota.take({ account: "a", quota: QUOTA, size: 6_000, now });
  expect(request(60_000)).toBe(0);
  quota.createReport(60_010);
  expect(request(60_010)).toBe(0);
  quota.createReport(60_020);
  const wait = request(60_020);
  expect(wait).toBeGreaterThan(0);
  // A report to the others, in between or at that time, as there is one every quarter of a second.
  quota.createReport(60_020 + wait);
  expect(request(60_020 + wait)).toBe(0);
});

test("applies a smaller quota immediately", () => {
  const quota = createSharedQuota(0);
  const smaller = { ...QUOTA, perSecond: 100, burst: 100 };
  expect(quota.take({ account: "a", quota: QUOTA, size: 100, now: 60_000 })).toBe(0);
  let admitted = 0;
  for (let now = 60_010; now < 61_000; now += 10) {
    if (quota.take({ account: "a", quota: smaller, size: 100, now }) === 0) admitted += 100;
  }
  expect(admitted).toBeLessThanOrEqual(300);
});

test("refunds requests that did not run, also at the other instances", () => {
  const [one, two] = [createSharedQuota(0), createSharedQuota(0)];
  const request = { account: "a", quota: QUOTA, size: 10_000, now: 60_000 };
  two.take({ ...request, size: 1 });
  two.receiveReport("one", { admitted: new Map(one.createReport(60_000)), age: 60_000 });
  expect(one.take(request)).toBe(0);
  two.receiveReport("one", { admitted: new Map(one.createReport(60_000)), age: 60_000 });
  expect(two.take(request)).toBeGreaterThan(0);
  one.refund("a", 10_000);
  two.receiveReport("one", { admitted: new Map(one.createReport(60_000)), age: 60_000 });
  two.createReport(60_000);
  expect(two.take(request)).toBe(0);
});

/** Minimum window over which a quota is assessed, in milliseconds. */
const MIN_WINDOW = 8_000;
const LARGE_QUOTA: Quota = {
  unit: QuotaUnit.Tokens,
  perSecond: 40_000,
  burst: 80_000,
  unstatedTokens: 200,
};
const LARGE_SIZE = 5_000;
const SLACK = 140_000;

/** Simulates requests at random instances; each receives the sum of the others after a delay. */
function simulateFleet(load: { instances: number; times: number; seconds: number }): {
  /** Admitted fraction of the requested amount. */
  admittedFraction: number;
  /** Highest amount admitted in a window, divided by the allowed amount. */
  maxRatio: number;
} {
  const { instances, times, seconds } = load;
  const random = createSeededRandom(4);
  const quotas = Array.from({ length: instances }, () => createSharedQuota(0));
  const own = quotas.map(() => 0);
  const admitted: { at: number; size: number }[] = [];
  const step = (LARGE_SIZE / (LARGE_QUOTA.perSecond * times)) * 1_000;
  const start = 60_000;
  const period = 250;
  const delay = 150;
  let lastReportAt = start;
  let sums: { at: number; total: number; own: number[] }[] = [];
  let requested = 0;
  for (const quota of quotas) {
    quota.setReachability({ reachable: instances, members: instances });
    quota.addAccounts([{ name: "a", quota: LARGE_QUOTA }], start);
  }
  for (let now = start; now < start + seconds * 1_000; now += step) {
    if (now - lastReportAt >= period) {
      lastReportAt = now;
      for (const quota of quotas) quota.createReport(now);
      sums.push({ at: now, total: own.reduce((sum, one) => sum + one, 0), own: [...own] });
    }
    for (const sum of sums.filter(({ at }) => now - at >= delay)) {
      quotas.forEach((quota, index) => {
        const admittedElsewhere = sum.total - (sum.own[index] ?? 0);
        quota.receiveReport("others", { admitted: new Map([["a", admittedElsewhere]]), age: now });
      });
    }
    sums = sums.filter(({ at }) => now - at < delay);
    const index = Math.floor(random.next() * instances);
    const size = LARGE_SIZE * (0.5 + random.next());
    requested += size;
    const wait = quotas[index]?.take({ account: "a", quota: LARGE_QUOTA, size, now });
    if (wait !== 0) continue;
    own[index] = (own[index] ?? 0) + size;
    admitted.push({ at: now, size });
  }
  const sumOf = (from: number, to: number): number =>
    admitted.reduce((sum, { at, size }) => sum + (at >= from && at < to ? size : 0), 0);
  const windows = admitted.map(({ at }) => sumOf(at, at + MIN_WINDOW));
  const allowed = (LARGE_QUOTA.perSecond * MIN_WINDOW) / 1_000 + LARGE_QUOTA.burst;
  return {
    admittedFraction: sumOf(start, Infinity) / requested,
    maxRatio: Math.max(...windows) / (allowed * 1.1 + SLACK),
  };
}

// Each of hundreds of instances occasionally admits a request of an account and receives the
// others' counts through relays. If each admitted the whole level of its last report, the account
// would get many times its quota.
test.each([6, 63, 195, 300])("limits an account to its quota over %i instances", (instances) => {
  expect(simulateFleet({ instances, times: 7.5, seconds: 24 }).maxRatio).toBeLessThan(1);
});

// Each of hundreds of instances receives a small fraction of an account's requests. Refusals based
// on what the others might admit in the meantime would cut into the account's quota.
test.each([6, 63, 195, 300])(
  "does not refuse an account within its quota at %i instances",
  (instances) => {
    expect(simulateFleet({ instances, times: 0.9, seconds: 24 }).admittedFraction).toBeGreaterThan(
      0.98,
    );
  },
);

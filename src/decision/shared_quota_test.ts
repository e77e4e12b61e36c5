import { expect, test } from "vitest";
import { QuotaUnit } from "../version/index.ts";
import type { Quota } from "../version/index.ts";
import { createSharedQuota } from "./shared_quota.ts";

const QUOTA: Quota = {
  unit: QuotaUnit.Tokens,
  perSecond: 10_000,
  burst: 10_000,
  unstatedTokens: 200,
};

/** Plays `instances` that each ask for `size` every `step` ms and tell each other every 250 ms. */
function play(options: {
  instances: number;
  size: number;
  step: number;
  length: number;
  areApart?: boolean;
}): number {
  const quotas = Array.from({ length: options.instances }, () => createSharedQuota(0));
  let admitted = 0;
  for (let now = 60_000; now < 60_000 + options.length; now += options.step) {
    for (const quota of quotas) {
      const wait = quota.take({ account: "a", quota: QUOTA, size: options.size, now });
      if (wait === 0) admitted += options.size;
    }
    if (now % 250 !== 0) continue;
    quotas.forEach((quota, index) => {
      const others = quotas.filter((_, other) => other !== index);
      const members = options.instances;
      quota.setReach({ heard: options.areApart === true ? 1 : members, members });
      if (options.areApart === true) return;
      const told = new Map(quota.tell(now));
      others.forEach((other) => other.heard(String(index), told));
    });
  }
  return admitted;
}

// One account sends many times its usual over all instances. Held to the whole quota by each instance it would
// get six times what it may have, and fill the service for everybody.
test("six instances together admit one quota", () => {
  const admitted = play({ instances: 6, size: 500, step: 50, length: 8_000 });
  const allowed = QUOTA.perSecond * 8 + QUOTA.burst;
  expect(admitted).toBeGreaterThan(allowed * 0.85);
  // The words between instances are 250 ms old at most.
  expect(admitted).toBeLessThan(allowed * 1.05 + 6 * 500);
});

// The network between the instances is cut, but callers and workers reach all of them.
test("instances that can't hear each other admit about one quota", () => {
  const admitted = play({ instances: 6, size: 500, step: 50, length: 8_000, areApart: true });
  // Each begins with the burst that was there before the cut.
  expect(admitted).toBeLessThan(QUOTA.perSecond * 8 + 6 * QUOTA.burst + 6 * 500);
});

test("an account whose requests all come to one instance gets its whole quota there", () => {
  const quota = createSharedQuota(0);
  quota.setReach({ heard: 6, members: 6 });
  let admitted = 0;
  for (let now = 60_000; now < 68_000; now += 20) {
    if (quota.take({ account: "a", quota: QUOTA, size: 500, now }) === 0) admitted += 500;
    if (now % 240 === 0) quota.tell(now);
  }
  expect(admitted).toBeGreaterThanOrEqual(QUOTA.perSecond * 7.9 + QUOTA.burst * 0.9);
});

// An account at its limit sends small requests and large ones. If a request had to fit in what is left, the small
// ones would take every token as it comes, and the large ones would be refused for ever.
test("large requests get through beside small ones", () => {
  const quota = createSharedQuota(0);
  const admitted = { small: 0, large: 0 };
  const asked = { small: 0, large: 0 };
  for (let now = 60_000; now < 90_000; now += 20) {
    const kind = (now / 20) % 5 === 0 ? "large" : "small";
    asked[kind]++;
    const size = kind === "large" ? 5_000 : 200;
    if (quota.take({ account: "a", quota: QUOTA, size, now }) === 0) admitted[kind]++;
    if (now % 240 === 0) quota.tell(now);
  }
  expect(admitted.large / asked.large).toBeGreaterThan(admitted.small / asked.small / 2);
});

test("a refusal says when there will be room", () => {
  const quota = createSharedQuota(0);
  quota.setReach({ heard: 1, members: 1 });
  const ask = (now: number): number => quota.take({ account: "a", quota: QUOTA, size: 6_000, now });
  expect(ask(60_000)).toBe(0);
  quota.tell(60_010);
  expect(ask(60_010)).toBe(0);
  quota.tell(60_020);
  const wait = ask(60_020);
  expect(wait).toBeGreaterThan(0);
  // A message to the others, in between or just then, as there is one every quarter of a second.
  quota.tell(60_020 + wait);
  expect(ask(60_020 + wait)).toBe(0);
});

test("a smaller quota binds at once", () => {
  const quota = createSharedQuota(0);
  const smaller = { ...QUOTA, perSecond: 100, burst: 100 };
  expect(quota.take({ account: "a", quota: QUOTA, size: 100, now: 60_000 })).toBe(0);
  let admitted = 0;
  for (let now = 60_010; now < 61_000; now += 10) {
    if (quota.take({ account: "a", quota: smaller, size: 100, now }) === 0) admitted += 100;
  }
  expect(admitted).toBeLessThanOrEqual(300);
});

test("what didn't run is given back, to the other instances as well", () => {
  const [one, two] = [createSharedQuota(0), createSharedQuota(0)];
  const ask = { account: "a", quota: QUOTA, size: 10_000, now: 60_000 };
  two.take({ ...ask, size: 1 });
  two.heard("one", new Map(one.tell(60_000)));
  expect(one.take(ask)).toBe(0);
  two.heard("one", new Map(one.tell(60_000)));
  expect(two.take(ask)).toBeGreaterThan(0);
  one.giveBack("a", 10_000);
  two.heard("one", new Map(one.tell(60_000)));
  two.tell(60_000);
  expect(two.take(ask)).toBe(0);
});

import { expect, test } from "vitest";
import { createWorkerHealth } from "./worker_health.ts";

// A worker answers its health check and fails nearly half of its requests. It ends failing ones quickly and
// looks idle, so it draws work; a caller notices errors for as long as nobody takes it away.
test("a worker that fails half of its runs is known within two seconds and trusted again later", () => {
  const health = createWorkerHealth();
  const workers = [0, 1, 2, 3];
  let now = 0;
  let step = 0;
  const run = (until: number): void => {
    for (; now < until; now += 50) {
      const worker = workers[step % 4] ?? 0;
      health.ended({ worker, service: "s", failed: worker === 0 && step % 8 === 0, now });
      step++;
    }
  };
  run(2_000);
  expect(health.excess(0, "s", now)).toBeGreaterThan(0.2);
  expect(health.excess(1, "s", now)).toBeLessThan(0.05);
  expect(health.excess(0, "s", now + 12_000)).toBeLessThan(0.1);
});

// All workers fail alike, because the cause lies elsewhere. Avoiding any of them would only load the others.
test("where all fail alike none is avoided", () => {
  const health = createWorkerHealth();
  for (let step = 0; step < 200; step++) {
    health.ended({ worker: step % 4, service: "s", failed: step % 8 < 4, now: step * 20 });
  }
  for (const worker of [0, 1, 2, 3]) {
    expect(health.excess(worker, "s", 4_000)).toBeLessThan(0.15);
  }
});

// One instance alone sees too little of a worker. It must also learn from what the others see, for as long as that
// says something of the worker as it is.
test("what other instances saw counts, and fades", () => {
  const health = createWorkerHealth();
  health.heard("e2", new Map([[0, { runs: 100, failures: 0 }]]), 0);
  health.heard("e2", new Map([[0, { runs: 110, failures: 8 }]]), 0);
  expect(health.excess(0, "s", 0)).toBeGreaterThan(0.5);
  expect(health.excess(0, "s", 20_000)).toBeLessThan(0.1);
});

// Each instance says again and again what it has counted. Added each time, one failure would soon look like many;
// taken from the count of the one that it replaced, a restarted instance's failures wouldn't be seen.
test("what an instance has counted is taken in once, and added to what others count", () => {
  const health = createWorkerHealth();
  const say = (instance: string, failures: number, now: number): void =>
    health.heard(instance, new Map([[0, { runs: failures + 2, failures }]]), now);
  say("e2", 0, 0);
  say("e3", 4, 0);
  for (let now = 0; now <= 5_000; now += 250) say("e2", 8, 5_000);
  expect(health.excess(0, "s", 5_000)).toBeCloseTo(8 / 10, 9);
  say("e3", 8, 5_000);
  expect(health.excess(0, "s", 5_000)).toBeCloseTo(12 / 14, 9);
  health.heard("e3", new Map([[0, { runs: 0, failures: 0 }]]), 5_000);
  say("e3", 3, 5_000);
  expect(health.excess(0, "s", 5_000)).toBeCloseTo(15 / (10 + 4 + 5 + 2 - 2), 9);
});

// An instance that was out of reach is heard again, with counts of the whole time. Taken in at once, failures of long
// ago would keep requests away from a worker that is well by now.
test("what an instance had counted before it was heard isn't taken in", () => {
  const health = createWorkerHealth();
  const say = (failures: number, now: number): void =>
    health.heard("e2", new Map([[0, { runs: 50, failures }]]), now);
  say(40, 0);
  expect(health.excess(0, "s", 0)).toBe(0);
  health.keepInstances(new Set());
  say(45, 1_000);
  expect(health.excess(0, "s", 1_000)).toBe(0);
});

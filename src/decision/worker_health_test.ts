import { expect, test } from "vitest";
import { createWorkerHealth } from "./worker_health.ts";

// A worker passes its health check and fails nearly half of its requests. It finishes failing
// requests quickly and looks idle, so it attracts work, and callers see errors until it is avoided.
test("detects a worker that fails half of its runs within two seconds and stops avoiding it later", () => {
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

// All workers fail alike, because the cause lies elsewhere. Avoiding any of them would only
// overload the others.
test("avoids no worker if all fail alike", () => {
  const health = createWorkerHealth();
  for (let step = 0; step < 200; step++) {
    health.ended({ worker: step % 4, service: "s", failed: step % 8 < 4, now: step * 20 });
  }
  for (const worker of [0, 1, 2, 3]) {
    expect(health.excess(worker, "s", 4_000)).toBeLessThan(0.15);
  }
});

// A single instance observes too little of a worker. It also has to use what the others observe, as
// long as that is recent.
test("uses the observations of other instances until they decay", () => {
  const health = createWorkerHealth();
  health.heard("e2", new Map([[0, { runs: 100, failures: 0 }]]), 0);
  health.heard("e2", new Map([[0, { runs: 110, failures: 8 }]]), 0);
  expect(health.excess(0, "s", 0)).toBeGreaterThan(0.5);
  expect(health.excess(0, "s", 20_000)).toBeLessThan(0.1);
});

// Each instance sends its cumulative counts repeatedly. Adding them each time would multiply a
// failure; subtracting the counts of the process it replaced would hide a restarted instance's
// failures.
test("adds the counts of each instance once", () => {
  const health = createWorkerHealth();
  const receive = (instance: string, failures: number, now: number): void =>
    health.heard(instance, new Map([[0, { runs: failures + 2, failures }]]), now);
  receive("e2", 0, 0);
  receive("e3", 4, 0);
  for (let now = 0; now <= 5_000; now += 250) receive("e2", 8, 5_000);
  expect(health.excess(0, "s", 5_000)).toBeCloseTo(8 / 10, 9);
  receive("e3", 8, 5_000);
  expect(health.excess(0, "s", 5_000)).toBeCloseTo(12 / 14, 9);
  health.heard("e3", new Map([[0, { runs: 0, failures: 0 }]]), 5_000);
  receive("e3", 3, 5_000);
  expect(health.excess(0, "s", 5_000)).toBeCloseTo(15 / (10 + 4 + 5 + 2 - 2), 9);
});

// An instance that was unreachable is received again, with counts since its start. Counting these
// at once would keep requests away from a worker that has recovered.
test("ignores what an instance counted before its first message", () => {
  const health = createWorkerHealth();
  const receive = (failures: number, now: number): void =>
    health.heard("e2", new Map([[0, { runs: 50, failures }]]), now);
  receive(40, 0);
  expect(health.excess(0, "s", 0)).toBe(0);
  health.keepInstances(new Set());
  receive(45, 1_000);
  expect(health.excess(0, "s", 1_000)).toBe(0);
});

import { expect, test } from "vitest";
import { createWorkerHealth } from "./worker_health.ts";

// A worker answers its health check and fails nearly half of its requests. It ends failing ones quickly and
// looks idle, so it draws work; a caller notices errors for as long as nobody takes it away.
test("a worker that fails half of its runs is known within two seconds and trusted again later", () => {
  const health = createWorkerHealth();
  const workers = ["w0", "w1", "w2", "w3"];
  let now = 0;
  let step = 0;
  const run = (until: number): void => {
    for (; now < until; now += 50) {
      const worker = workers[step % 4] ?? "";
      health.ended({ worker, service: "s", failed: worker === "w0" && step % 8 === 0, now });
      step++;
    }
  };
  run(2_000);
  expect(health.excess("w0", "s", now)).toBeGreaterThan(0.2);
  expect(health.excess("w1", "s", now)).toBeLessThan(0.05);
  expect(health.excess("w0", "s", now + 12_000)).toBeLessThan(0.1);
});

// All workers fail alike, because the cause lies elsewhere. Avoiding any of them would only load the others.
test("where all fail alike none is avoided", () => {
  const health = createWorkerHealth();
  for (let step = 0; step < 200; step++) {
    health.ended({ worker: `w${step % 4}`, service: "s", failed: step % 8 < 4, now: step * 20 });
  }
  for (const worker of ["w0", "w1", "w2", "w3"]) {
    expect(health.excess(worker, "s", 4_000)).toBeLessThan(0.15);
  }
});

test("what other instances saw counts, and fades", () => {
  const health = createWorkerHealth();
  health.heard("e2", new Map([["w0", { runs: 10, failures: 8 }]]), 0);
  expect(health.excess("w0", "s", 0)).toBeGreaterThan(0.5);
  expect(health.excess("w0", "s", 20_000)).toBeLessThan(0.1);
});

// Each instance says again and again what it saw. Added instead of replaced, one failure would soon look like many.
test("what an instance says replaces what it said before, and is added to what others say", () => {
  const health = createWorkerHealth();
  const say = (instance: string, failures: number, now: number): void =>
    health.heard(instance, new Map([["w0", { runs: 10, failures }]]), now);
  for (let now = 0; now <= 5_000; now += 250) say("e2", 8, now);
  const alone = health.excess("w0", "s", 5_000);
  expect(alone).toBeCloseTo(8 / 12, 9);
  say("e3", 0, 5_000);
  expect(health.excess("w0", "s", 5_000)).toBeCloseTo(8 / 22, 9);
  say("e2", 0, 5_250);
  expect(health.excess("w0", "s", 5_250)).toBeCloseTo(0, 9);
  health.heard("e2", new Map(), 5_500);
  say("e3", 5, 5_500);
  expect(health.excess("w0", "s", 5_500)).toBeCloseTo(5 / 12, 9);
});

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

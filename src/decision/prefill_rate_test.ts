import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import { createReadRate } from "./prefill_rate.ts";

test("estimates the rate from first tokens even if some prompts are partly cached", () => {
  const random = createSeededRandom(1);
  const rate = createReadRate();
  for (let count = 0; count < 300; count++) {
    const tokens = 3_000 + random.next() * 20_000;
    const read = random.next() < 0.2 ? tokens / 3 : tokens;
    rate.observe({ tokens, took: 35 + read / 110 });
  }
  expect(rate.value).toBeGreaterThan(90);
  expect(rate.value).toBeLessThan(140);
});

test("ignores short prompts", () => {
  const rate = createReadRate();
  const before = rate.value;
  for (let count = 0; count < 100; count++) rate.observe({ tokens: 600, took: 400 });
  expect(rate.value).toBe(before);
});

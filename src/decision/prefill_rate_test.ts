import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import { createPrefillRate } from "./prefill_rate.ts";

test("estimates the rate from first tokens even if some prompts are partly cached", () => {
  const random = createSeededRandom(1);
  const rate = createPrefillRate();
  for (let count = 0; count < 300; count++) {
    const tokens = 3_000 + random.next() * 20_000;
    const processedTokens = random.next() < 0.2 ? tokens / 3 : tokens;
    rate.observe({ tokens, duration: 35 + processedTokens / 110 });
  }
  expect(rate.value).toBeGreaterThan(90);
  expect(rate.value).toBeLessThan(140);
});

test("ignores short prompts", () => {
  const rate = createPrefillRate();
  const before = rate.value;
  for (let count = 0; count < 100; count++) rate.observe({ tokens: 600, duration: 400 });
  expect(rate.value).toBe(before);
});

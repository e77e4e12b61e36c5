import { expect, test } from "vitest";
import { createVirtualClock } from "../standin/memory/index.ts";
import { createRoutedLog } from "./routed_log.ts";

// The store is away and every call fails alike. Hundreds of equal lines a second would push out those that explain a
// caller's request.
test("a fault that repeats is logged once a second, with how often it came", async () => {
  const clock = createVirtualClock();
  const lines: { step: string; repeatedBefore: number }[] = [];
  const log = createRoutedLog({
    instance: "e1",
    clock,
    write: (line) => {
      const { context } = JSON.parse(line) as { context: (typeof lines)[number] };
      lines.push(context);
    },
  });
  for (let time = 0; time < 2_000; time += 100) {
    log.fault("digest", {});
    await clock.advance(100);
  }
  expect(lines.map(({ step, repeatedBefore }) => [step, repeatedBefore])).toEqual([
    ["digest", 0],
    ["digest", 9],
  ]);
});

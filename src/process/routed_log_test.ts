import { expect, test } from "vitest";
import { createVirtualClock } from "../standin/memory/index.ts";
import { createRoutedLog } from "./routed_log.ts";

// While the store is unavailable, every call fails the same way. Hundreds of identical lines per second would crowd out
// the lines about callers' requests.
test("logs a repeated fault once per second with its number of repetitions", async () => {
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

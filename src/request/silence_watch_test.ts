import { expect, test } from "vitest";
import { createVirtualClock } from "../standin/memory/index.ts";
import { createSilenceWatch } from "./silence_watch.ts";

// A stream that stays open but carries nothing would otherwise keep its caller waiting until the deadline.
test("silence is reported once, the limit after the last event", async () => {
  const clock = createVirtualClock();
  const silentAt: number[] = [];
  const watch = createSilenceWatch(clock, 1_000, () => silentAt.push(clock.now()));
  await clock.advance(800);
  watch.restart(1_000);
  await clock.advance(900);
  watch.restart(5_000);
  await clock.advance(4_000);
  watch.restart(300);
  await clock.advance(10_000);
  expect(silentAt).toEqual([800 + 900 + 4_000 + 300]);
});

test("a closed watch reports nothing", async () => {
  const clock = createVirtualClock();
  let reports = 0;
  createSilenceWatch(clock, 1_000, () => reports++).close();
  await clock.advance(5_000);
  expect(reports).toBe(0);
});

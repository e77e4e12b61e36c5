import { expect, test } from "vitest";
import { EntryMode } from "../decision/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { createOverloadTask } from "./overload_task.ts";

test("refuses work while the event loop lags and accepts it again step by step", async () => {
  // Without protection, an overloaded instance sends its heartbeats late and its peers take over its slots. That
  // overloads the next instance in turn.
  const clock = createVirtualClock();
  const modes: EntryMode[] = [];
  let loopDelay = 0;
  const task = createOverloadTask({
    clock,
    readLoad: () => ({ loopDelay, memory: 0, memoryLimit: 1, inProgress: 0 }),
    onModeChange: (mode) => modes.push(mode),
    count: () => undefined,
  });
  task.start();
  await clock.advance(2_000);
  expect(modes).toEqual([]);
  loopDelay = 300;
  await clock.advance(500);
  expect(modes).toEqual([EntryMode.ControlOnly]);
  loopDelay = 5;
  await clock.advance(1_000);
  expect(modes.slice(1)).toEqual([EntryMode.LookupsOnly, EntryMode.Open]);
  task.close();
  loopDelay = 300;
  await clock.advance(2_000);
  expect(modes).toHaveLength(3);
});

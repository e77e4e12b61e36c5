import { expect, test } from "vitest";
import { createSeededRandom } from "../../interface/index.ts";
import { createEventQueue } from "./event_queue.ts";

test("callbacks run in order of time, and at the same time in order of insertion", () => {
  const events = createEventQueue();
  const random = createSeededRandom(3);
  const ran: { at: number; order: number }[] = [];
  for (let order = 0; order < 500; order++) {
    const at = Math.floor(random.next() * 50);
    events.add(at, () => ran.push({ at, order }));
  }
  while (events.runNext());
  const sorted = ran.toSorted((a, b) => a.at - b.at || a.order - b.order);
  expect(ran).toEqual(sorted);
  expect(ran).toHaveLength(500);
});

test("a callback for a time in the past runs now, and the time never decreases", () => {
  const events = createEventQueue();
  const times: number[] = [];
  events.add(10, () => events.add(5, () => times.push(events.now())));
  while (events.runNext());
  expect(times).toEqual([10]);
});

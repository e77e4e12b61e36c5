import { expect, test } from "vitest";
import { createSeededRandom } from "../../interface/index.ts";
import { createEventQueue } from "./event_queue.ts";

test("events run in order of time, those of one time in the order they were added", () => {
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

test("an event that is added for a time that has passed runs now, and time never goes back", () => {
  const events = createEventQueue();
  const times: number[] = [];
  events.add(10, () => events.add(5, () => times.push(events.now())));
  while (events.runNext());
  expect(times).toEqual([10]);
});

import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import { timeUntilRenewal } from "./watch_schedule.ts";

const INTERVAL = 1_000;
const random = createSeededRandom(1);

/** Returns the times at which the watches of all instances are renewed, sorted. */
function renewals(
  instances: number,
  { from, until, position = 0 }: { from: number; until: number; position?: number },
): number[] {
  const watchers = Array.from({ length: instances }, (_, index) => `10.0.0.${index}:9`);
  const times: number[] = [];
  for (const self of watchers) {
    let time = from;
    while (time < until) {
      time += timeUntilRenewal({ watchers, self, position, interval: INTERVAL }, { time, random });
      times.push(time);
    }
  }
  return times.sort((a, b) => a - b);
}

// All instances have just received a change and call the store at the same moment. Without another call soon, a change
// on silent connections goes unnoticed.
test.each([1, 2, 6, 13])(
  "%i instances that call the store at once spread their next calls",
  (instances) => {
    for (const from of [0, 17, 499, 1_784_000_000_123]) {
      const until = from + 4 * instances * INTERVAL;
      const times = [from, ...renewals(instances, { from, until })].filter((time) => time <= until);
      const gaps = times.slice(1).map((time, index) => time - (times[index] ?? 0));
      // A renewal that would follow at once is skipped.
      expect(Math.max(...gaps)).toBeLessThanOrEqual(INTERVAL * 1.15);
    }
  },
);

test("the calls cost no more than one for each interval", () => {
  const times = renewals(6, { from: 0, until: 60_000 });
  expect(times.length).toBeLessThanOrEqual(60 + 6);
});

test("watches of one instance are renewed at different times", () => {
  const at = (position: number): number => renewals(1, { from: 200, until: 201, position })[0] ?? 0;
  expect([at(0), at(0.5)]).toEqual([1_000, 500]);
});

// Instances may disagree on which of them watch the store.
test("an instance that isn't listed renews its watch within a period", () => {
  const watch = { watchers: ["a", "b", "c"], self: "d", position: 0, interval: INTERVAL };
  for (let time = 0; time < 5_000; time += 97) {
    const wait = timeUntilRenewal(watch, { time, random });
    expect(wait).toBeGreaterThan(0);
    expect(wait).toBeLessThanOrEqual(3.15 * INTERVAL);
  }
  expect(timeUntilRenewal({ ...watch, watchers: [] }, { time: 300, random })).toBe(700);
});

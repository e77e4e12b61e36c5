import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import {
  createRolloutShare,
  rolloutCourse,
  RolloutPhase,
  workersOnTrial,
} from "./rollout_share.ts";

const BOUNDS = { share: 0.1, slack: 50 };

/** Plays an order to its deadline, at each instance as many requests to the new version as it may send. */
function exposed(options: {
  instances: number;
  rate: number;
  duration: number;
  /** Every instance begins to count anew so many times. */
  restarts?: number;
}): { tried: number; all: number } {
  const { instances, rate, duration, restarts = 0 } = options;
  const random = createSeededRandom(5);
  const course = rolloutCourse(duration, BOUNDS);
  const make = (): ReturnType<typeof createRolloutShare> =>
    createRolloutShare({ bounds: BOUNDS, course, members: () => instances, random });
  let shares = Array.from({ length: instances }, make);
  let tried = 0;
  let all = 0;
  let restarted = 0;
  for (let at = 0; at < duration; at += 1_000 / rate) {
    if (at > ((restarted + 1) * duration) / (restarts + 1)) {
      shares = shares.map(make);
      restarted++;
    }
    const share = shares[Math.floor(random.next() * instances)];
    const phase = at < course.switchAt ? RolloutPhase.Trial : RolloutPhase.Switch;
    // After its end everything goes to the new version.
    const isTried = at >= course.completeAt || share?.mayTry(phase) === true;
    share?.sent(isTried);
    all++;
    if (isTried) tried++;
  }
  return { tried, all };
}

// A version turns bad in the last moment before its order is completed: all that it was ever given is lost.
test.each([
  [6, 20, 8_000],
  [6, 600, 8_000],
  [20, 300, 12_000],
  [300, 600, 8_000],
  [300, 600, 60_000],
  [300, 150, 20_000],
])(
  "all of %i instances together keep under the bound (%i requests a second, %i ms)",
  (instances, rate, duration) => {
    const { tried, all } = exposed({ instances, rate, duration });
    expect(tried).toBeLessThanOrEqual(0.95 * (all * BOUNDS.share + BOUNDS.slack));
    // And the new version gets enough to be judged by.
    expect(tried).toBeGreaterThan(0.4 * all * BOUNDS.share);
  },
);

// All instances are restarted in the middle of the order, and know nothing of what they sent before.
test.each([
  [6, 300],
  [76, 300],
  [300, 600],
])("a restart of all %i instances doesn't lift the bound (%i a second)", (instances, rate) => {
  const { tried, all } = exposed({ instances, rate, duration: 20_000, restarts: 1 });
  expect(tried).toBeLessThanOrEqual(all * BOUNDS.share + BOUNDS.slack);
});

test("an order ends shortly before its deadline, after a short time of switching", () => {
  for (const duration of [8_000, 12_000, 60_000, 600_000]) {
    const { switchAt, completeAt, parts } = rolloutCourse(duration, BOUNDS);
    expect(completeAt).toBeLessThanOrEqual(duration - 350);
    expect(completeAt).toBeGreaterThanOrEqual(duration - 700);
    expect(switchAt).toBeLessThan(completeAt);
    expect(parts.trial).toBeGreaterThan(0.015);
    expect(parts.switch).toBeGreaterThanOrEqual(parts.trial);
  }
});

// What fails only under load shows nothing where each new worker gets a little. So a few get as much as an old one has.
test.each([4, 13, 63, 200])(
  "those on trial beside %i workers are used as much as these",
  (base) => {
    const workers = Array.from({ length: base }, (_, index) => `n-${index}`);
    const duration = 40_000;
    const { parts } = rolloutCourse(duration, BOUNDS);
    const used = new Set<string>();
    let shares = 0;
    const looks = 4_000;
    for (let look = 0; look < looks; look++) {
      const moment = {
        since: (look * duration) / looks,
        duration,
        part: parts.trial,
        base,
        delay: 0,
      };
      const now = workersOnTrial(workers, moment);
      for (const worker of now) used.add(worker);
      shares += now.length / (base + now.length);
    }
    // Used like the others while they are, they get about the share over the whole time.
    expect(shares / looks).toBeGreaterThan(0.6 * parts.trial);
    expect(shares / looks).toBeLessThan(1.5 * parts.trial);
    expect(used.size).toBeGreaterThanOrEqual(3);
  },
);

test("without workers nobody is on trial", () => {
  const moment = { since: 100, duration: 9_000, part: 0.03, base: 5, delay: 0 };
  expect(workersOnTrial([], moment)).toEqual([]);
});

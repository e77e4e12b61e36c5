import { expect, test } from "vitest";
import type { FeedObject, PutOutcome } from "../interface/index.ts";
import { printNamed } from "../request/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { createRequestQuarantine, QUARANTINE_KEY } from "./request_quarantine.ts";

const PRINT = printNamed("00000007aaaaaaaa");
const LASTS = 60_000;

/** A quarantine before a store that answers as it is told to. */
function setUp(options: { outcomes?: PutOutcome[]; tidies?: boolean } = {}) {
  const clock = createVirtualClock();
  const written: string[] = [];
  const erased: string[] = [];
  const steps: string[] = [];
  const outcomes = [...(options.outcomes ?? [])];
  const quarantine = createRequestQuarantine({
    clock,
    time: () => clock.now(),
    store: {
      put: (key, value) => {
        written.push(`${key} ${value}`);
        return Promise.resolve(outcomes.shift() ?? { kind: "written", version: 9 });
      },
      erase: (key) => {
        erased.push(key);
        return Promise.resolve(true);
      },
    },
    lasts: LASTS,
    othersOf: () => undefined,
    tidies: () => options.tidies ?? false,
    log: { changed: (step) => void steps.push(step) },
  });
  const crash = (times: number): void => {
    for (let time = 0; time < times; time++) quarantine.crashed([PRINT]);
  };
  return { clock, quarantine, crash, written, erased, steps };
}

function object(since: number): FeedObject {
  return { name: PRINT.name, version: 9, value: JSON.stringify({ crashes: 3, since }) };
}

test("a request under which three workers ended is kept from workers at once, and written a second later", async () => {
  const { clock, quarantine, crash, written } = setUp();
  quarantine.start();
  crash(2);
  expect(quarantine.waitFor(PRINT)).toBe(0);
  crash(1);
  expect(quarantine.waitFor(PRINT)).toBe(LASTS);
  await clock.advance(900);
  expect(written).toEqual([]);
  await clock.advance(1_000);
  expect(written.length).toBe(1);
  expect(written[0]).toContain(`${QUARANTINE_KEY}/${PRINT.name}`);
  expect(quarantine.writtenVersion).toBe(9);
  await clock.advance(5_000);
  expect(written.length).toBe(1);
  quarantine.close();
});

test("guards against a quarantine that is lost because the store was away when it was written", async () => {
  const away: PutOutcome = { kind: "unavailable", detail: "away" };
  const lost: PutOutcome = { kind: "unknown", detail: "no answer" };
  const { clock, quarantine, crash, written } = setUp({ outcomes: [away, lost] });
  quarantine.start();
  crash(3);
  await clock.advance(6_000);
  expect(written.length).toBe(3);
  quarantine.close();
});

test("guards against writing what was answered within the second", async () => {
  const { clock, quarantine, crash, written } = setUp();
  quarantine.start();
  crash(3);
  expect(quarantine.waitFor(PRINT)).toBeGreaterThan(0);
  await clock.advance(300);
  quarantine.answered(PRINT);
  expect(quarantine.waitFor(PRINT)).toBe(0);
  await clock.advance(3_000);
  expect(written).toEqual([]);
  quarantine.close();
});

test("an instance that knows only the store keeps to it, and says truly for how long", () => {
  const { clock, quarantine } = setUp();
  quarantine.setObjects([object(clock.now() - 20_000)]);
  expect(quarantine.waitFor(PRINT)).toBe(LASTS - 20_000);
  expect(quarantine.list()).toEqual([{ print: PRINT, crashes: 3, since: clock.now() - 20_000 }]);
  expect(quarantine.waitFor(printNamed("00000008aaaaaaaa"))).toBe(0);
});

test("a request that is taken out of the store is given to workers again", async () => {
  const { clock, quarantine, crash, written } = setUp();
  quarantine.start();
  crash(3);
  await clock.advance(2_000);
  quarantine.setObjects([object(clock.now())]);
  quarantine.setObjects([]);
  expect(quarantine.waitFor(PRINT)).toBe(0);
  await clock.advance(5_000);
  expect(quarantine.waitFor(PRINT)).toBe(0);
  expect(written.length).toBe(1);
  crash(3);
  expect(quarantine.waitFor(PRINT)).toBe(LASTS);
  quarantine.close();
});

test.each([true, false])(
  "what has lasted long enough is taken out by one instance: %s",
  async (tidies) => {
    const { clock, quarantine, erased } = setUp({ tidies });
    quarantine.start();
    quarantine.setObjects([object(clock.now())]);
    await clock.advance(LASTS + 300);
    expect(quarantine.waitFor(PRINT)).toBe(0);
    expect(erased.includes(`${QUARANTINE_KEY}/${PRINT.name}`)).toBe(tidies);
    quarantine.close();
  },
);

test("guards against a wait that is told longer than it lasts, for an object from a time that is ahead", () => {
  const { clock, quarantine } = setUp();
  quarantine.setObjects([object(clock.now() + 1e9)]);
  expect(quarantine.waitFor(PRINT)).toBe(LASTS);
});

test("an object with another name than a request's names none", () => {
  const { quarantine, steps } = setUp();
  quarantine.setObjects([{ ...object(0), name: "main" }]);
  expect(quarantine.list()).toEqual([]);
  expect(steps).toContain("quarantine-unreadable");
});

// Anyone may write to the store.
test.each(["", "{", "[]", '{"crashes":"3"}', 7, null])(
  "an object that can't be read names no request: %j",
  (value) => {
    const { quarantine, steps } = setUp();
    quarantine.setObjects([{ name: PRINT.name, version: 9, value }]);
    expect(quarantine.waitFor(PRINT)).toBe(0);
    expect(steps).toContain("quarantine-unreadable");
  },
);

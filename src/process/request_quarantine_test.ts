import { expect, test } from "vitest";
import type { FeedObject, PutOutcome } from "../interface/index.ts";
import { printNamed } from "../request/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { createRequestQuarantine, QUARANTINE_KEY } from "./request_quarantine.ts";

const PRINT = printNamed("00000007aaaaaaaa");
const LASTS = 60_000;

/** A quarantine before a store that answers as it is told to. */
function setUp(
  options: {
    outcomes?: PutOutcome[];
    tidies?: boolean;
    others?: () => { runs: number; failures: number };
  } = {},
) {
  const clock = createVirtualClock();
  const written: string[] = [];
  const erased: string[] = [];
  const steps: string[] = [];
  const outcomes = [...(options.outcomes ?? [])];
  const quarantine = createRequestQuarantine({
    clock,
    time: () => clock.now(),
    store: {
      put: (key, value, { expect: version }) => {
        written.push(`${key} ${value} ${version}`);
        return Promise.resolve(outcomes.shift() ?? { kind: "written", version: 9 });
      },
      erase: (key) => {
        erased.push(key);
        return Promise.resolve(true);
      },
    },
    lasts: LASTS,
    othersOf: () => options.others?.(),
    members: () => 6,
    tidies: () => options.tidies ?? false,
    log: { changed: (step) => void steps.push(step) },
  });
  const crash = (times: number): void => {
    for (let time = 0; time < times; time++) quarantine.crashed([PRINT]);
  };
  return { clock, quarantine, crash, written, erased, steps };
}

function object(since: number, crashes = 3): FeedObject {
  return { name: PRINT.name, version: 9, value: JSON.stringify({ crashes, since }) };
}

/** What the store says to a write of another version than it has: this one. */
function conflictWith(crashes: number): PutOutcome {
  const value = JSON.stringify({ crashes, since: 0 });
  return { kind: "conflict", current: { key: PRINT.name, version: 12, value } };
}

/** What a write of the request's record looks like. */
function write(crashes: number, expected: number): unknown {
  const value = `{"crashes":${crashes},"since":\\d+}`;
  return expect.stringMatching(
    new RegExp(`^${QUARANTINE_KEY}/${PRINT.name} ${value} ${expected}$`),
  );
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
  expect(quarantine.list()).toEqual([
    { print: PRINT, crashes: 3, since: clock.now() - 20_000, version: 9 },
  ]);
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

test("guards against crashes that all instances forget when they are started anew", async () => {
  const { clock, quarantine, crash, written } = setUp();
  quarantine.start();
  crash(2);
  await clock.advance(1_000);
  expect(written).toEqual([write(2, 0)]);
  quarantine.close();

  const later = setUp();
  later.quarantine.start();
  later.quarantine.setObjects([object(later.clock.now() - 5_000, 2)]);
  expect(later.quarantine.waitFor(PRINT)).toBe(0);
  expect(later.quarantine.list()).toEqual([]);
  later.crash(1);
  expect(later.quarantine.waitFor(PRINT)).toBe(LASTS);
  await later.clock.advance(2_000);
  expect(later.written).toEqual([write(3, 9)]);
  later.quarantine.close();
});

test("guards against counting twice what the store and the others tell of the same crashes", async () => {
  let others = { runs: 0, failures: 0 };
  const { clock, quarantine, crash } = setUp({ others: () => others });
  quarantine.start();
  crash(1);
  quarantine.setObjects([object(clock.now(), 2)]);
  expect(quarantine.waitFor(PRINT)).toBe(0);
  // The other instance's digest comes after what it has written.
  others = { runs: 1, failures: 1 };
  await clock.advance(3_000);
  expect(quarantine.waitFor(PRINT)).toBe(0);
  // That instance ends, and the next crash is the third.
  others = { runs: 0, failures: 0 };
  expect(quarantine.waitFor(PRINT)).toBe(0);
  crash(1);
  expect(quarantine.waitFor(PRINT)).toBe(LASTS);
  quarantine.close();
});

test("what is answered at the next worker is no suspect, and is none any more where it was", async () => {
  const { clock, quarantine, crash, written, erased } = setUp({ tidies: true });
  quarantine.start();
  crash(2);
  await clock.advance(200);
  quarantine.answered(PRINT);
  await clock.advance(2_000);
  expect(written).toEqual([]);
  quarantine.setObjects([object(clock.now(), 2)]);
  await clock.advance(300);
  expect(erased).toContain(`${QUARANTINE_KEY}/${PRINT.name}`);
  quarantine.close();
});

test("a suspect that nothing is heard of for ten minutes is none any more", async () => {
  const { clock, quarantine, erased } = setUp({ tidies: true });
  quarantine.start();
  quarantine.setObjects([object(clock.now(), 2)]);
  await clock.advance(599_000);
  expect(erased).toEqual([]);
  await clock.advance(1_500);
  expect(erased.length).toBeGreaterThan(0);
  quarantine.setObjects([]);
  expect(quarantine.waitFor(PRINT)).toBe(0);
  quarantine.close();
});

test("guards against a quarantine that isn't written because the store has the request as a suspect", async () => {
  const { clock, quarantine, crash, written } = setUp({ outcomes: [conflictWith(2)] });
  quarantine.start();
  crash(3);
  await clock.advance(4_000);
  expect(written).toEqual([write(3, 0), write(3, 12)]);
  quarantine.close();
});

test("guards against a suspect that takes the place of a quarantine", async () => {
  const { clock, quarantine, crash, written } = setUp({ outcomes: [conflictWith(3)] });
  quarantine.start();
  crash(2);
  await clock.advance(4_000);
  expect(written).toEqual([write(2, 0)]);
  quarantine.close();
});

test("guards against hundreds of writes where many workers end at once", async () => {
  const { clock, quarantine, written } = setUp();
  quarantine.start();
  const prints = Array.from({ length: 200 }, (_, index) =>
    printNamed(index.toString(16).padStart(16, "0")),
  );
  for (let worker = 0; worker < 2; worker++) quarantine.crashed(prints);
  await clock.advance(2_000);
  expect(written.length).toBeLessThanOrEqual(8);
  quarantine.close();
});

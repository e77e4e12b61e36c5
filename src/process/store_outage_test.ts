import { expect, test } from "vitest";
import { createStallingClock, createVirtualClock } from "../standin/memory/index.ts";
import { createRunningTime } from "./running_time.ts";
import { createStoreOutage } from "./store_outage.ts";
import type { StoreOutage } from "./store_outage.ts";

interface OutageSetup {
  readonly clock: ReturnType<typeof createVirtualClock>;
  readonly outage: StoreOutage;
  /** Times at which an outage ended. */
  readonly ends: number[];
}

function setUp(): OutageSetup {
  const clock = createVirtualClock();
  const ends: number[] = [];
  const runningTime = createRunningTime(clock);
  runningTime.start();
  const outage = createStoreOutage({ clock, runningTime, onEnd: (at) => ends.push(at) });
  outage.recordAnswer();
  return { clock, outage, ends };
}

// One instance loses the store for twelve seconds, and workers leave in the meantime. If it took
// their missing entries for expired ones afterwards, it would send requests to them for two more
// seconds, long after they announced that they were leaving.
test("an outage during which others were answered is not an outage of the store", async () => {
  const { clock, outage, ends } = setUp();
  for (let second = 0; second < 12; second++) {
    await clock.advance(1_000);
    outage.recordPeerAnswer(clock.now() - 200);
  }
  outage.recordAnswer();
  expect(ends).toEqual([]);
});

// All connections go silent at once. The first instance to notice calls the store again less than two
// seconds later and is answered.
test("a loss of all connections is not an outage of the store", async () => {
  const { clock, outage, ends } = setUp();
  await clock.advance(1_900);
  outage.recordPeerAnswer(clock.now());
  outage.recordAnswer();
  expect(ends).toEqual([]);
});

// The store fails for all instances. Right afterwards, the others still report that it answered
// them just before. Relying on that would remove every worker whose entry has expired.
test("reports right after the loss don't show that the store is available", async () => {
  const { clock, outage, ends } = setUp();
  const lostAt = clock.now();
  for (let count = 0; count < 8; count++) {
    await clock.advance(250);
    outage.recordPeerAnswer(lostAt);
  }
  outage.recordAnswer();
  expect(ends).toEqual([lostAt + 2_000]);
});

// The store fails for six seconds. Other instances call it again a little earlier than this one,
// and their reports of its answers arrive some tenths of a second before it answers this one.
test("others that are answered slightly earlier were not answered throughout", async () => {
  const { clock, outage, ends } = setUp();
  await clock.advance(5_800);
  outage.recordPeerAnswer(clock.now() - 100);
  expect(ends).toEqual([clock.now() - 100]);
  await clock.advance(250);
  outage.recordAnswer();
  expect(ends.length).toBe(1);
});

test("each outage is evaluated independently of earlier ones", async () => {
  const { clock, outage, ends } = setUp();
  await clock.advance(3_000);
  outage.recordAnswer();
  await clock.advance(1_000);
  outage.recordAnswer();
  expect(ends.length).toBe(1);
  await clock.advance(3_000);
  outage.recordAnswer();
  expect(ends.length).toBe(2);
});

// The clock of another instance is ahead. An answer in the future would hide the next outage.
test("an answer never counts as later than its report", async () => {
  const { clock, outage, ends } = setUp();
  outage.recordPeerAnswer(clock.now() + 60_000);
  expect(outage.answeredAt).toBe(clock.now());
  await clock.advance(4_000);
  outage.recordAnswer();
  expect(ends.length).toBe(1);
});

// The process has no processor time for three seconds. If it took that for an outage of the store, it would send requests
// to a worker that was removed meanwhile for two more seconds.
test("a stall of the process is not an outage of the store", () => {
  const clock = createStallingClock();
  const runningTime = createRunningTime(clock);
  runningTime.start();
  const ends: number[] = [];
  const outage = createStoreOutage({ clock, runningTime, onEnd: (at) => ends.push(at) });
  outage.recordAnswer();
  clock.stall(3_000);
  outage.recordAnswer();
  expect(ends).toEqual([]);
  clock.advance(1_500);
  clock.stall(3_000);
  clock.advance(500);
  outage.recordAnswer();
  expect(ends).toEqual([clock.now()]);
});

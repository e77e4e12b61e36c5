import { expect, test } from "vitest";
import { createVirtualClock } from "../standin/memory/virtual_clock.ts";
import { createStoreOutage } from "./store_outage.ts";

const STALE_AFTER = 3_500;

// One instance is cut off from the store for twelve seconds, and workers leave meanwhile. If it took their missing
// entries for lapsed ones on its return, it would send requests to them for two more seconds, long after they said
// that they leave.
test("what others were answered all along was no outage of the store", async () => {
  const clock = createVirtualClock();
  const outage = createStoreOutage({ clock, staleAfter: STALE_AFTER });
  outage.began();
  await clock.advance(STALE_AFTER + 1);
  outage.heardAnswering();
  await clock.advance(8_000);
  expect(outage.ended()).toBe(false);
});

// The store is away for everybody. Right after its loss the others still say that it answers them, since they haven't
// asked it again; going by that, every worker whose entry has lapsed would be given up on its return.
test("what others say right after the loss is no sign that the store is there", async () => {
  const clock = createVirtualClock();
  const outage = createStoreOutage({ clock, staleAfter: STALE_AFTER });
  outage.began();
  await clock.advance(STALE_AFTER - 1);
  outage.heardAnswering();
  await clock.advance(2_000);
  expect(outage.ended()).toBe(true);
});

// The store was away for six seconds. Other instances happen to ask it again first, and say that it answers them some
// tenths of a second before it has answered this one.
test("others that are answered again a little sooner were not answered all along", async () => {
  const clock = createVirtualClock();
  const outage = createStoreOutage({ clock, staleAfter: STALE_AFTER });
  outage.began();
  await clock.advance(5_800);
  outage.heardAnswering();
  await clock.advance(250);
  expect(outage.ended()).toBe(true);
});

test("an outage is judged by itself, not by one before", async () => {
  const clock = createVirtualClock();
  const outage = createStoreOutage({ clock, staleAfter: STALE_AFTER });
  outage.began();
  await clock.advance(STALE_AFTER + 1);
  outage.heardAnswering();
  await clock.advance(3_000);
  expect(outage.ended()).toBe(false);
  outage.heardAnswering();
  outage.began();
  await clock.advance(STALE_AFTER + 1);
  expect(outage.ended()).toBe(true);
});

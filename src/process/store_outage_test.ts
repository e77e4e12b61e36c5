import { expect, test } from "vitest";
import { createVirtualClock } from "../standin/memory/virtual_clock.ts";
import { createStoreOutage } from "./store_outage.ts";

const STALE_AFTER = 3_500;

// One instance loses the store for twelve seconds, and workers leave in the meantime. If it took
// their missing entries for expired ones afterwards, it would send requests to them for two more
// seconds, long after they announced that they were leaving.
test("an outage during which others were answered is not an outage of the store", async () => {
  const clock = createVirtualClock();
  const outage = createStoreOutage({ clock, staleAfter: STALE_AFTER });
  outage.start();
  await clock.advance(STALE_AFTER + 1);
  outage.reportAnswer();
  await clock.advance(8_000);
  expect(outage.end()).toBe(false);
});

// The store fails for all instances. Right afterwards, the others still report that it answers
// them, since they have not called it again yet. Relying on that would remove every worker whose
// entry has expired.
test("reports right after the loss don't show that the store is available", async () => {
  const clock = createVirtualClock();
  const outage = createStoreOutage({ clock, staleAfter: STALE_AFTER });
  outage.start();
  await clock.advance(STALE_AFTER - 1);
  outage.reportAnswer();
  await clock.advance(2_000);
  expect(outage.end()).toBe(true);
});

// The store fails for six seconds. Other instances call it again a little earlier than this one,
// and their reports of its answers arrive some tenths of a second before it answers this one.
test("others that are answered slightly earlier were not answered throughout", async () => {
  const clock = createVirtualClock();
  const outage = createStoreOutage({ clock, staleAfter: STALE_AFTER });
  outage.start();
  await clock.advance(5_800);
  outage.reportAnswer();
  await clock.advance(250);
  expect(outage.end()).toBe(true);
});

test("each outage is evaluated independently of earlier ones", async () => {
  const clock = createVirtualClock();
  const outage = createStoreOutage({ clock, staleAfter: STALE_AFTER });
  outage.start();
  await clock.advance(STALE_AFTER + 1);
  outage.reportAnswer();
  await clock.advance(3_000);
  expect(outage.end()).toBe(false);
  outage.reportAnswer();
  outage.start();
  await clock.advance(STALE_AFTER + 1);
  expect(outage.end()).toBe(true);
});

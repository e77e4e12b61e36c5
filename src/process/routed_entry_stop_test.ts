import { expect, test } from "vitest";
import type { Clock } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { createPlannedStop } from "./routed_entry_stop.ts";
import type { PlannedStopParts } from "./routed_entry_stop.ts";

const GRACE = 8_000;
/** Milliseconds after which a stopping instance accepts nothing, with some in reserve. */
const CLOSED_TO_NEW = 3_300;
/** Milliseconds. */
const SECOND = 1_000;

function partsOf(clock: Clock, overrides: Partial<PlannedStopParts> = {}): PlannedStopParts {
  return {
    clock,
    log: { changed: () => undefined },
    grace: GRACE,
    requestsInProgress: () => 0,
    relayedConnections: () => 0,
    onBegin: () => undefined,
    endRequests: () => undefined,
    ...overrides,
  };
}

// Guards against a process that is killed before it has ended its answers, because it counts from when it notices the signal.
test("all answers end within the grace period of a signal that is handled late", async () => {
  const clock = createVirtualClock();
  const askedAt = clock.now();
  await clock.advance(SECOND);
  let endedAt = Infinity;
  const stop = createPlannedStop(
    partsOf(clock, {
      requestsInProgress: () => 1,
      endRequests: () => (endedAt = clock.now()),
    }),
  );
  let isDone = false;
  void stop.run(askedAt).then(() => (isDone = true));
  await clock.advance(GRACE - SECOND);
  expect(endedAt - askedAt).toBeLessThan(GRACE - 500);
  expect(isDone).toBe(true);
});

// Guards against an instance that takes requests which wait unread after a stall for none.
test("after a stall, a stop goes on only once what has arrived was read", async () => {
  const virtual = createVirtualClock();
  let stalled = 0;
  let unread = 0;
  const clock: Clock = { ...virtual, now: () => virtual.now() + stalled };
  let hasEnded = false;
  const stop = createPlannedStop(
    partsOf(clock, {
      requestsInProgress: () => unread,
      endRequests: () => (hasEnded = true),
    }),
  );
  void stop.run(clock.now());
  await virtual.advance(CLOSED_TO_NEW - SECOND - 30);
  stalled = SECOND;
  // The timer that is due runs first; a request that arrived meanwhile is read then.
  await virtual.advance(30);
  unread = 1;
  await virtual.advance(SECOND);
  expect(hasEnded).toBe(false);
  unread = 0;
  await virtual.advance(SECOND);
  expect(hasEnded).toBe(true);
});

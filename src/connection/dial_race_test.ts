import { Socket } from "node:net";
import { expect, test } from "vitest";
import { DialFailure } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import type { DialListener } from "./dial.ts";
import { raceDials } from "./dial_race.ts";
import type { StartDial } from "./dial_race.ts";

/** An attempt that the test settles. */
interface TestedDial {
  readonly start: StartDial;
  listener: DialListener | undefined;
  isClosed: boolean;
}

function createDial(): TestedDial {
  const tested: TestedDial = {
    start: (listener) => {
      tested.listener = listener;
      return { close: () => (tested.isClosed = true) };
    },
    listener: undefined,
    isClosed: false,
  };
  return tested;
}

/** Starts a race in which the second attempt begins after 300 ms; `results` receives its calls. */
function startRace(): {
  first: TestedDial;
  second: TestedDial;
  results: unknown[];
  clock: ReturnType<typeof createVirtualClock>;
} {
  const [first, second] = [createDial(), createDial()];
  const clock = createVirtualClock();
  const results: unknown[] = [];
  raceDials({
    clock,
    first: first.start,
    second: second.start,
    headStart: 300,
    isFinal: (failure) => failure === DialFailure.Unanswered,
    opened: ({ isRelayed }) => results.push(isRelayed),
    failed: (one, other) => results.push([one, other]),
  });
  return { first, second, results, clock };
}

function open(dial: TestedDial, isRelayed: boolean): void {
  dial.listener?.opened({ socket: new Socket(), isRelayed });
}

// Guards against a request that is sent on two connections and runs twice.
test("only the connection that is opened first is handed over, and the other attempt is abandoned", async () => {
  const { first, second, results, clock } = startRace();
  await clock.advance(299);
  expect(second.listener).toBeUndefined();
  await clock.advance(1);
  open(second, true);
  expect(first.isClosed).toBe(true);
  expect(results).toEqual([true]);
});

// Guards against waiting for the head start when the first way is known to fail.
test("the second attempt starts with the failure of the first, and both failures are reported once", () => {
  const { first, second, results } = startRace();
  first.listener?.failed(DialFailure.Refused, "refused");
  expect(results).toEqual([]);
  second.listener?.failed(DialFailure.NoPath, "no path");
  expect(results).toEqual([[DialFailure.Refused, DialFailure.NoPath]]);
});

// Guards against asking other instances again about a worker that has ended.
test("a final failure of the first attempt ends the race", async () => {
  const { first, second, results, clock } = startRace();
  first.listener?.failed(DialFailure.Unanswered, "no answer");
  await clock.advance(1_000);
  expect(second.listener).toBeUndefined();
  expect(results).toEqual([[DialFailure.Unanswered, undefined]]);
});

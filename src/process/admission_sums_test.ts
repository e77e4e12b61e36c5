import fc from "fast-check";
import { expect, test } from "vitest";
import { admissionKey } from "./admission_period.ts";
import { createAdmissionSums } from "./admission_sums.ts";
import type { AdmissionSums } from "./admission_sums.ts";

const ACCOUNT = "club";
const PERIOD = 100;
/** Uptime and age of instances that run for long, in milliseconds. */
const LONG = 60_000;
const KEY = admissionKey({ period: PERIOD, account: ACCOUNT });

/** Applies an amount of the first period. */
function receive(
  sums: AdmissionSums,
  from: string,
  { amount, now, age = LONG, period = PERIOD }: ReportValues,
): void {
  const [subject = "", relay = ""] = from.split("@");
  const admitted = new Map([[KEY, amount]]);
  sums.receive({ id: `${subject}/${relay}`, subject }, { admitted, age }, { now, period });
}

interface ReportValues {
  readonly amount: number;
  readonly now: number;
  readonly age?: number;
  readonly period?: number;
}

/** Returns sums of an instance that runs for long, with a known subject. */
function createKnownSums(from: string): AdmissionSums {
  const sums = createAdmissionSums(0);
  receive(sums, from, { amount: 0, now: LONG });
  return sums;
}

function growthOf(sums: AdmissionSums): number {
  return sums.growth().get(ACCOUNT) ?? 0;
}

// A relay that has just been selected has not received the reports of all instances yet. If its first
// sum were only a base, what was admitted since the last sum of the other relay would be deducted nowhere.
test("a change of the relay neither loses amounts nor counts them twice", () => {
  const sums = createKnownSums("*@one");
  receive(sums, "*@one", { amount: 100, now: LONG + 250 });
  receive(sums, "*@two", { amount: 40, now: LONG + 1_500 });
  expect(growthOf(sums)).toBe(100);
  receive(sums, "*@two", { amount: 160, now: LONG + 1_750 });
  expect(growthOf(sums)).toBe(160);
});

// A member that becomes a relay receives the parts of what it received as a sum before.
test("a change of the role neither loses amounts nor counts them twice", () => {
  const sums = createKnownSums("*@one");
  receive(sums, "*@one", { amount: 100, now: LONG + 250 });
  sums.changeSources(LONG + 300);
  receive(sums, "e1", { amount: 70, now: LONG + 500 });
  expect(growthOf(sums)).toBe(100);
  receive(sums, "e2", { amount: 60, now: LONG + 600 });
  expect(growthOf(sums)).toBe(130);
});

// Both sides of a partition reduce their rates. If each deducted what the other had admitted as well, accounts would be
// refused for seconds after its end. The same holds for what was admitted before an instance started.
test.each([
  ["after a partition", 0, LONG + 5_000],
  ["before the start", LONG, LONG + 500],
])("amounts of instances that had no contact are not counted (%s)", (_, startedAt, now) => {
  const sums = createAdmissionSums(startedAt);
  receive(sums, "e1", { amount: 100, now });
  expect(growthOf(sums)).toBe(0);
  receive(sums, "e1", { amount: 110, now: now + 250 });
  expect(growthOf(sums)).toBe(10);
});

// All instances start together. What each admits until the first reports arrive has to be deducted.
test("amounts of instances that started at the same time are counted", () => {
  const sums = createAdmissionSums(0);
  receive(sums, "e1", { amount: 100, now: 900, age: 1_100 });
  expect(growthOf(sums)).toBe(100);
  sums.changeSources(1_000);
  receive(sums, "*@one", { amount: 300, now: 1_200, age: 1_500 });
  expect(growthOf(sums)).toBe(300);
});

// The time of day of an instance is corrected by some milliseconds at the beginning of a period.
test("a small correction of the time of day changes nothing", () => {
  const sums = createKnownSums("e1");
  receive(sums, "e1", { amount: 100, now: LONG + 250, period: PERIOD + 1 });
  receive(sums, "e1", { amount: 110, now: LONG + 300 });
  expect(growthOf(sums)).toBe(110);
});

test("refunds reduce the sums", () => {
  const sums = createKnownSums("e1");
  receive(sums, "e1", { amount: 100, now: LONG + 250 });
  receive(sums, "e1", { amount: 80, now: LONG + 500 });
  expect(growthOf(sums)).toBe(80);
  const own = new Map([[KEY, 5]]);
  expect(sums.plus(own, { now: LONG + 500, period: PERIOD }).get(KEY)).toBe(85);
});

// Guards against sums that differ from the amounts of all, for any order of reports through two relays.
test("the growth is the highest sum that any source has sent", () => {
  const report = fc.record({ relay: fc.constantFrom("one", "two"), known: fc.nat(20) });
  fc.assert(
    fc.property(fc.array(report), (reports) => {
      const sums = createKnownSums("*@one");
      const sent = { one: 0, two: 0 };
      for (const { relay, known } of reports) {
        const name = relay === "one" ? "one" : "two";
        sent[name] += known;
        receive(sums, `*@${relay}`, { amount: sent[name], now: LONG + 250 });
      }
      expect(growthOf(sums)).toBe(Math.max(sent.one, sent.two));
    }),
  );
});

import { expect, test } from "vitest";
import { createCrashEvidence } from "./crash_evidence.ts";
import type { CrashEvidence, Suspect } from "./crash_evidence.ts";

const REASON: Suspect = { name: "reason", key: 1 };
const CHANCE: Suspect = { name: "chance", key: 2 };

/** Instances that know at once what each of them has counted. */
function fleet(size: number): CrashEvidence[] {
  const now = { value: 0 };
  const members: CrashEvidence[] = [];
  for (let self = 0; self < size; self++) {
    members.push(
      createCrashEvidence((key) => {
        const said = members.flatMap((member, index) =>
          index === self ? [] : [member.counts(now.value).get(key)],
        );
        return said.reduce(
          (sum, one) => ({
            runs: (sum?.runs ?? 0) + (one?.runs ?? 0),
            failures: (sum?.failures ?? 0) + (one?.failures ?? 0),
          }),
          { runs: 0, failures: 0 },
        );
      }),
    );
  }
  return members;
}

function alone(): CrashEvidence {
  return createCrashEvidence(() => undefined);
}

test("a request under which three workers ended is proven, one under which two did isn't", () => {
  const evidence = alone();
  evidence.crashed(REASON, 0);
  evidence.crashed(REASON, 100);
  expect(evidence.isProven(REASON, 200)).toBe(false);
  evidence.crashed(REASON, 300);
  expect(evidence.isProven(REASON, 400)).toBe(true);
  expect(evidence.proven(400)).toEqual([{ suspect: REASON, crashes: 3, isOwn: true, since: 400 }]);
});

test("three instances that lost one worker each know it together, and so does a fourth", () => {
  const members = fleet(4);
  for (const member of members.slice(0, 3)) member.crashed(REASON, 0);
  for (const member of members) expect(member.isProven(REASON, 1)).toBe(true);
});

test("guards against refusing what ran beside the reason and is answered at the next worker", () => {
  const evidence = alone();
  for (let crash = 0; crash < 5; crash++) {
    evidence.crashed(REASON, crash * 500);
    evidence.crashed(CHANCE, crash * 500);
    evidence.answered(CHANCE, crash * 500 + 200);
  }
  expect(evidence.isProven(REASON, 3_000)).toBe(true);
  expect(evidence.isProven(CHANCE, 3_000)).toBe(false);
});

test("guards against refusing what is asked for much when many workers end at once", () => {
  const members = fleet(3);
  const [first, second, third] = members;
  for (let run = 0; run < 10; run++) first?.answered(CHANCE, run);
  for (const member of [second, third]) {
    member?.crashed(CHANCE, 20);
    member?.crashed(CHANCE, 21);
  }
  // The one that has answered it says so when it is asked for it again.
  expect(first?.isProven(CHANCE, 30)).toBe(false);
  for (const member of members) expect(member.isProven(CHANCE, 40)).toBe(false);
});

test("an answer of long ago doesn't speak for a request that crashes workers now", () => {
  const evidence = alone();
  evidence.answered(REASON, 0);
  for (let crash = 0; crash < 3; crash++) evidence.crashed(REASON, 20_000 + crash);
  expect(evidence.isProven(REASON, 20_010)).toBe(true);
});

test("guards against forgetting what is proven when those that counted it have ended", () => {
  let others: { runs: number; failures: number } | undefined = { runs: 3, failures: 3 };
  const evidence = createCrashEvidence(() => others);
  expect(evidence.isProven(REASON, 0)).toBe(true);
  others = undefined;
  expect(evidence.isProven(REASON, 30_000)).toBe(true);
  expect(evidence.isProven(REASON, 61_000)).toBe(false);
});

test("what is proven ends when others tell of answers", () => {
  let others = { runs: 3, failures: 3 };
  const evidence = createCrashEvidence(() => others);
  expect(evidence.isProven(REASON, 0)).toBe(true);
  others = { runs: 9, failures: 3 };
  expect(evidence.isProven(REASON, 500)).toBe(false);
});

test("crashes a long while apart still count together, within ten minutes of the last one", () => {
  const evidence = alone();
  for (let crash = 0; crash < 3; crash++) evidence.crashed(REASON, crash * 300_000);
  expect(evidence.isProven(REASON, 600_001)).toBe(true);
  const late = alone();
  late.crashed(REASON, 0);
  late.crashed(REASON, 1);
  expect(late.counts(601_000).size).toBe(0);
});

test("memory is bounded whatever is asked for", () => {
  const evidence = alone();
  for (let index = 0; index < 10_000; index++) {
    evidence.crashed({ name: `r${index}`, key: index }, index);
    evidence.answered({ name: `a${index}`, key: -index }, index);
  }
  expect(evidence.counts(10_000).size).toBeLessThanOrEqual(512);
});

test("guards against crashes that don't count because those that counted them have ended", () => {
  let others: { runs: number; failures: number } | undefined = { runs: 1, failures: 1 };
  const evidence = createCrashEvidence(() => others);
  evidence.crashed(REASON, 0);
  evidence.recall(REASON, 2);
  expect(evidence.isProven(REASON, 1)).toBe(false);
  others = undefined;
  expect(evidence.isProven(REASON, 2)).toBe(false);
  evidence.crashed(REASON, 3);
  expect(evidence.isProven(REASON, 4)).toBe(true);
});

test("what is recalled again and again counts once", () => {
  const evidence = alone();
  for (let time = 0; time < 10; time++) {
    evidence.recall(REASON, 2);
    expect(evidence.isProven(REASON, time)).toBe(false);
  }
  evidence.crashed(REASON, 10);
  for (let time = 0; time < 10; time++) evidence.recall(REASON, 2);
  expect(evidence.proven(20)).toMatchObject([{ suspect: REASON, crashes: 3 }]);
});

test("an answer speaks for what was recalled", () => {
  const evidence = alone();
  evidence.recall(CHANCE, 2);
  evidence.answered(CHANCE, 0);
  expect(evidence.isAnswered(CHANCE)).toBe(true);
  for (let crash = 0; crash < 3; crash++) evidence.crashed(CHANCE, crash);
  expect(evidence.isProven(CHANCE, 10)).toBe(false);
});

test("a request is suspected that lacks one crash, was lost here and has no answer", () => {
  const [first, second] = fleet(2);
  first?.crashed(REASON, 0);
  expect(first?.suspected(10)).toEqual([]);
  first?.crashed(REASON, 20);
  first?.crashed(CHANCE, 20);
  first?.crashed(CHANCE, 20);
  expect(first?.suspected(30).length).toBe(2);
  first?.answered(CHANCE, 40);
  expect(first?.suspected(50)).toEqual([{ suspect: REASON, crashes: 2, isOwn: true, since: 30 }]);
  expect(second?.suspected(50)).toEqual([]);
  first?.crashed(REASON, 60);
  expect(first?.suspected(70)).toEqual([]);
});

import { expect, test } from "vitest";
import { createCrashEvidence } from "./crash_evidence.ts";
import type { CrashEvidence, Suspect } from "./crash_evidence.ts";

const REASON: Suspect = { name: "reason", key: 1 };
const CHANCE: Suspect = { name: "chance", key: 2 };

/** Creates instances that see each other's counts immediately. */
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

test("proves a request after three crashes but not after two", () => {
  const evidence = alone();
  evidence.crashed(REASON, 0);
  evidence.crashed(REASON, 100);
  expect(evidence.isProven(REASON, 200)).toBe(false);
  evidence.crashed(REASON, 300);
  expect(evidence.isProven(REASON, 400)).toBe(true);
  expect(evidence.proven(400)).toEqual([{ suspect: REASON, crashes: 3, isOwn: true, since: 400 }]);
});

test("adds up the crashes of three instances, and a fourth instance sees the total", () => {
  const members = fleet(4);
  for (const member of members.slice(0, 3)) member.crashed(REASON, 0);
  for (const member of members) expect(member.isProven(REASON, 1)).toBe(true);
});

test("does not refuse a request that ran beside the cause and is answered at the next worker", () => {
  const evidence = alone();
  for (let crash = 0; crash < 5; crash++) {
    evidence.crashed(REASON, crash * 500);
    evidence.crashed(CHANCE, crash * 500);
    evidence.answered(CHANCE, crash * 500 + 200);
  }
  expect(evidence.isProven(REASON, 3_000)).toBe(true);
  expect(evidence.isProven(CHANCE, 3_000)).toBe(false);
});

test("does not refuse a frequent request when many workers crash at once", () => {
  const members = fleet(3);
  const [first, second, third] = members;
  for (let run = 0; run < 10; run++) first?.answered(CHANCE, run);
  for (const member of [second, third]) {
    member?.crashed(CHANCE, 20);
    member?.crashed(CHANCE, 21);
  }
  // The instance that has answered the request reports this when it receives the request again.
  expect(first?.isProven(CHANCE, 30)).toBe(false);
  for (const member of members) expect(member.isProven(CHANCE, 40)).toBe(false);
});

test("ignores old answers of a request that crashes workers now", () => {
  const evidence = alone();
  evidence.answered(REASON, 0);
  for (let crash = 0; crash < 3; crash++) evidence.crashed(REASON, 20_000 + crash);
  expect(evidence.isProven(REASON, 20_010)).toBe(true);
});

test("keeps a request proven for a while after the instances that counted its crashes have ended", () => {
  let others: { runs: number; failures: number } | undefined = { runs: 3, failures: 3 };
  const evidence = createCrashEvidence(() => others);
  expect(evidence.isProven(REASON, 0)).toBe(true);
  others = undefined;
  expect(evidence.isProven(REASON, 30_000)).toBe(true);
  expect(evidence.isProven(REASON, 61_000)).toBe(false);
});

test("clears a proven request when other instances report answers", () => {
  let others = { runs: 3, failures: 3 };
  const evidence = createCrashEvidence(() => others);
  expect(evidence.isProven(REASON, 0)).toBe(true);
  others = { runs: 9, failures: 3 };
  expect(evidence.isProven(REASON, 500)).toBe(false);
});

test("adds up crashes that are far apart, within ten minutes of the latest one", () => {
  const evidence = alone();
  for (let crash = 0; crash < 3; crash++) evidence.crashed(REASON, crash * 300_000);
  expect(evidence.isProven(REASON, 600_001)).toBe(true);
  const late = alone();
  late.crashed(REASON, 0);
  late.crashed(REASON, 1);
  expect(late.counts(601_000).size).toBe(0);
});

test("limits the number of requests that are kept", () => {
  const evidence = alone();
  for (let index = 0; index < 10_000; index++) {
    evidence.crashed({ name: `r${index}`, key: index }, index);
    evidence.answered({ name: `a${index}`, key: -index }, index);
  }
  expect(evidence.counts(10_000).size).toBeLessThanOrEqual(512);
});

test("counts restored crashes after the instances that counted them have ended", () => {
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

test("counts crashes that are restored repeatedly only once", () => {
  const evidence = alone();
  for (let time = 0; time < 10; time++) {
    evidence.recall(REASON, 2);
    expect(evidence.isProven(REASON, time)).toBe(false);
  }
  evidence.crashed(REASON, 10);
  for (let time = 0; time < 10; time++) evidence.recall(REASON, 2);
  expect(evidence.proven(20)).toMatchObject([{ suspect: REASON, crashes: 3 }]);
});

test("counts an answer in favor of a restored request", () => {
  const evidence = alone();
  evidence.recall(CHANCE, 2);
  evidence.answered(CHANCE, 0);
  expect(evidence.isAnswered(CHANCE)).toBe(true);
  for (let crash = 0; crash < 3; crash++) evidence.crashed(CHANCE, crash);
  expect(evidence.isProven(CHANCE, 10)).toBe(false);
});

test("lists a suspect that lost workers here, has no answers and needs one more crash", () => {
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

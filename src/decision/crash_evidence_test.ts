import { expect, test } from "vitest";
import { createCrashEvidence } from "./crash_evidence.ts";
import type { CrashEvidence, SuspectRequest } from "./crash_evidence.ts";

const CAUSE: SuspectRequest = { name: "reason", key: 1 };
const BYSTANDER: SuspectRequest = { name: "chance", key: 2 };

/** Creates instances that receive each other's counts immediately. */
function createFleet(size: number): CrashEvidence[] {
  const now = { value: 0 };
  const members: CrashEvidence[] = [];
  for (let self = 0; self < size; self++) {
    members.push(
      createCrashEvidence((key) => {
        const received = members.flatMap((member, index) =>
          index === self ? [] : [member.counts(now.value).get(key)],
        );
        return received.reduce(
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

function createSingle(): CrashEvidence {
  return createCrashEvidence(() => undefined);
}

test("proves a request after three crashes but not after two", () => {
  const evidence = createSingle();
  evidence.recordCrash(CAUSE, 0);
  evidence.recordCrash(CAUSE, 100);
  expect(evidence.isProven(CAUSE, 200)).toBe(false);
  evidence.recordCrash(CAUSE, 300);
  expect(evidence.isProven(CAUSE, 400)).toBe(true);
  expect(evidence.listProven(400)).toEqual([
    { suspect: CAUSE, crashes: 3, isOwn: true, since: 400 },
  ]);
});

test("adds up the crashes of three instances, and a fourth instance sees the total", () => {
  const members = createFleet(4);
  for (const member of members.slice(0, 3)) member.recordCrash(CAUSE, 0);
  for (const member of members) expect(member.isProven(CAUSE, 1)).toBe(true);
});

test("does not refuse a request that ran beside the cause and is answered at the next worker", () => {
  const evidence = createSingle();
  for (let crash = 0; crash < 5; crash++) {
    evidence.recordCrash(CAUSE, crash * 500);
    evidence.recordCrash(BYSTANDER, crash * 500);
    evidence.recordAnswer(BYSTANDER, crash * 500 + 200);
  }
  expect(evidence.isProven(CAUSE, 3_000)).toBe(true);
  expect(evidence.isProven(BYSTANDER, 3_000)).toBe(false);
});

test("does not refuse a frequent request when many workers crash at once", () => {
  const members = createFleet(3);
  const [first, second, third] = members;
  for (let run = 0; run < 10; run++) first?.recordAnswer(BYSTANDER, run);
  for (const member of [second, third]) {
    member?.recordCrash(BYSTANDER, 20);
    member?.recordCrash(BYSTANDER, 21);
  }
  // The instance that has answered the request reports this when it receives the request again.
  expect(first?.isProven(BYSTANDER, 30)).toBe(false);
  for (const member of members) expect(member.isProven(BYSTANDER, 40)).toBe(false);
});

test("ignores old answers of a request that crashes workers now", () => {
  const evidence = createSingle();
  evidence.recordAnswer(CAUSE, 0);
  for (let crash = 0; crash < 3; crash++) evidence.recordCrash(CAUSE, 20_000 + crash);
  expect(evidence.isProven(CAUSE, 20_010)).toBe(true);
});

test("keeps a request proven for a while after the instances that counted its crashes have ended", () => {
  let peerCounts: { runs: number; failures: number } | undefined = { runs: 3, failures: 3 };
  const evidence = createCrashEvidence(() => peerCounts);
  expect(evidence.isProven(CAUSE, 0)).toBe(true);
  peerCounts = undefined;
  expect(evidence.isProven(CAUSE, 30_000)).toBe(true);
  expect(evidence.isProven(CAUSE, 61_000)).toBe(false);
});

test("clears a proven request when other instances report answers", () => {
  let peerCounts = { runs: 3, failures: 3 };
  const evidence = createCrashEvidence(() => peerCounts);
  expect(evidence.isProven(CAUSE, 0)).toBe(true);
  peerCounts = { runs: 9, failures: 3 };
  expect(evidence.isProven(CAUSE, 500)).toBe(false);
});

test("adds up crashes that are far apart, within ten minutes of the latest one", () => {
  const evidence = createSingle();
  for (let crash = 0; crash < 3; crash++) evidence.recordCrash(CAUSE, crash * 300_000);
  expect(evidence.isProven(CAUSE, 600_001)).toBe(true);
  const late = createSingle();
  late.recordCrash(CAUSE, 0);
  late.recordCrash(CAUSE, 1);
  expect(late.counts(601_000).size).toBe(0);
});

test("limits the number of requests that are kept", () => {
  const evidence = createSingle();
  for (let index = 0; index < 10_000; index++) {
    evidence.recordCrash({ name: `r${index}`, key: index }, index);
    evidence.recordAnswer({ name: `a${index}`, key: -index }, index);
  }
  expect(evidence.counts(10_000).size).toBeLessThanOrEqual(512);
});

test("counts restored crashes after the instances that counted them have ended", () => {
  let peerCounts: { runs: number; failures: number } | undefined = { runs: 1, failures: 1 };
  const evidence = createCrashEvidence(() => peerCounts);
  evidence.recordCrash(CAUSE, 0);
  evidence.restore(CAUSE, 2);
  expect(evidence.isProven(CAUSE, 1)).toBe(false);
  peerCounts = undefined;
  expect(evidence.isProven(CAUSE, 2)).toBe(false);
  evidence.recordCrash(CAUSE, 3);
  expect(evidence.isProven(CAUSE, 4)).toBe(true);
});

test("counts crashes that are restored repeatedly only once", () => {
  const evidence = createSingle();
  for (let time = 0; time < 10; time++) {
    evidence.restore(CAUSE, 2);
    expect(evidence.isProven(CAUSE, time)).toBe(false);
  }
  evidence.recordCrash(CAUSE, 10);
  for (let time = 0; time < 10; time++) evidence.restore(CAUSE, 2);
  expect(evidence.listProven(20)).toMatchObject([{ suspect: CAUSE, crashes: 3 }]);
});

test("counts an answer in favor of a restored request", () => {
  const evidence = createSingle();
  evidence.restore(BYSTANDER, 2);
  evidence.recordAnswer(BYSTANDER, 0);
  expect(evidence.hasAnswer(BYSTANDER)).toBe(true);
  for (let crash = 0; crash < 3; crash++) evidence.recordCrash(BYSTANDER, crash);
  expect(evidence.isProven(BYSTANDER, 10)).toBe(false);
});

test("lists a suspect that lost workers here, has no answers and needs one more crash", () => {
  const [first, second] = createFleet(2);
  first?.recordCrash(CAUSE, 0);
  expect(first?.listSuspected(10)).toEqual([]);
  first?.recordCrash(CAUSE, 20);
  first?.recordCrash(BYSTANDER, 20);
  first?.recordCrash(BYSTANDER, 20);
  expect(first?.listSuspected(30).length).toBe(2);
  first?.recordAnswer(BYSTANDER, 40);
  expect(first?.listSuspected(50)).toEqual([
    { suspect: CAUSE, crashes: 2, isOwn: true, since: 30 },
  ]);
  expect(second?.listSuspected(50)).toEqual([]);
  first?.recordCrash(CAUSE, 60);
  expect(first?.listSuspected(70)).toEqual([]);
});

import { expect, test } from "vitest";
import { createCrashEvidence, MIN_PROVING_CRASHES } from "../decision/index.ts";
import type { FeedObject, PutOutcome } from "../interface/index.ts";
import { fingerprintFromName } from "../request/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { createRequestQuarantine, QUARANTINE_KEY } from "./request_quarantine.ts";

const FINGERPRINT = fingerprintFromName("00000007aaaaaaaa");
const DURATION = 60_000;

/** Creates a quarantine with a fake store that returns the given outcomes. */
function setUp(
  options: {
    outcomes?: PutOutcome[];
    canErase?: boolean;
    peerCounts?: () => { runs: number; failures: number };
  } = {},
) {
  const clock = createVirtualClock();
  const written: string[] = [];
  const erased: string[] = [];
  const steps: string[] = [];
  const outcomes = [...(options.outcomes ?? [])];
  const quarantine = createRequestQuarantine({
    subject: {
      covers: () => true,
      evidence: createCrashEvidence(() => options.peerCounts?.()),
      provingCrashes: MIN_PROVING_CRASHES,
    },
    clock,
    time: () => clock.now(),
    store: {
      put: (key, value, { expect: version }) => {
        written.push(`${key} ${value} ${version}`);
        return Promise.resolve(outcomes.shift() ?? { kind: "written", version: 9 });
      },
      delete: (key) => {
        erased.push(key);
        return Promise.resolve(true);
      },
    },
    duration: DURATION,
    instanceCount: () => 6,
    canErase: () => options.canErase ?? false,
    log: { changed: (step) => void steps.push(step) },
  });
  const crash = (times: number): void => {
    for (let time = 0; time < times; time++) quarantine.recordCrash([FINGERPRINT]);
  };
  return { clock, quarantine, crash, written, erased, steps };
}

function object(since: number, crashes = 3): FeedObject {
  return { name: FINGERPRINT.name, version: 9, value: JSON.stringify({ crashes, since }) };
}

/** The store's response to a write with an outdated version: a conflict with the current record. */
function conflictWith(crashes: number): PutOutcome {
  const value = JSON.stringify({ crashes, since: 0 });
  return { kind: "conflict", current: { key: FINGERPRINT.name, version: 12, value } };
}

/** Matches a write of the request's record. */
function writeMatching(crashes: number, expected: number): unknown {
  const value = `{"crashes":${crashes},"since":\\d+}`;
  return expect.stringMatching(
    new RegExp(`^${QUARANTINE_KEY}/${FINGERPRINT.name} ${value} ${expected}$`),
  );
}

test("quarantines a request immediately after three crashes and writes it to the store a second later", async () => {
  const { clock, quarantine, crash, written } = setUp();
  quarantine.start();
  crash(2);
  expect(quarantine.remainingTime(FINGERPRINT)).toBe(0);
  crash(1);
  expect(quarantine.remainingTime(FINGERPRINT)).toBe(DURATION);
  await clock.advance(900);
  expect(written).toEqual([]);
  await clock.advance(1_000);
  expect(written.length).toBe(1);
  expect(written[0]).toContain(`${QUARANTINE_KEY}/${FINGERPRINT.name}`);
  expect(quarantine.writtenVersion).toBe(9);
  await clock.advance(5_000);
  expect(written.length).toBe(1);
  quarantine.close();
});

// A quarantine that isn't written is lost when the instances restart.
test("retries the write of a quarantine after the store was unavailable", async () => {
  const away: PutOutcome = { kind: "unavailable", detail: "away" };
  const lost: PutOutcome = { kind: "unknown", detail: "no answer" };
  const { clock, quarantine, crash, written } = setUp({ outcomes: [away, lost] });
  quarantine.start();
  crash(3);
  await clock.advance(6_000);
  expect(written.length).toBe(3);
  quarantine.close();
});

test("does not write a request that was answered within the write delay", async () => {
  const { clock, quarantine, crash, written } = setUp();
  quarantine.start();
  crash(3);
  expect(quarantine.remainingTime(FINGERPRINT)).toBeGreaterThan(0);
  await clock.advance(300);
  quarantine.recordAnswer(FINGERPRINT);
  expect(quarantine.remainingTime(FINGERPRINT)).toBe(0);
  await clock.advance(3_000);
  expect(written).toEqual([]);
  quarantine.close();
});

test("applies a quarantine known only from the store, with its correct remaining time", () => {
  const { clock, quarantine } = setUp();
  quarantine.setObjects([object(clock.now() - 20_000)]);
  expect(quarantine.remainingTime(FINGERPRINT)).toBe(DURATION - 20_000);
  expect(quarantine.list()).toEqual([
    { fingerprint: FINGERPRINT, crashes: 3, since: clock.now() - 20_000, version: 9 },
  ]);
  expect(quarantine.remainingTime(fingerprintFromName("00000008aaaaaaaa"))).toBe(0);
});

test("sends a request to workers again after its record is removed from the store", async () => {
  const { clock, quarantine, crash, written } = setUp();
  quarantine.start();
  crash(3);
  await clock.advance(2_000);
  quarantine.setObjects([object(clock.now())]);
  quarantine.setObjects([]);
  expect(quarantine.remainingTime(FINGERPRINT)).toBe(0);
  await clock.advance(5_000);
  expect(quarantine.remainingTime(FINGERPRINT)).toBe(0);
  expect(written.length).toBe(1);
  crash(3);
  expect(quarantine.remainingTime(FINGERPRINT)).toBe(DURATION);
  quarantine.close();
});

test.each([true, false])(
  "erases an expired quarantine only on the instance responsible: %s",
  async (canErase) => {
    const { clock, quarantine, erased } = setUp({ canErase });
    quarantine.start();
    quarantine.setObjects([object(clock.now())]);
    await clock.advance(DURATION + 300);
    expect(quarantine.remainingTime(FINGERPRINT)).toBe(0);
    expect(erased.includes(`${QUARANTINE_KEY}/${FINGERPRINT.name}`)).toBe(canErase);
    quarantine.close();
  },
);

test("limits the reported wait to the quarantine's duration if the writer's clock is ahead", () => {
  const { clock, quarantine } = setUp();
  quarantine.setObjects([object(clock.now() + 1e9)]);
  expect(quarantine.remainingTime(FINGERPRINT)).toBe(DURATION);
});

test("ignores an object whose name is not a fingerprint", () => {
  const { quarantine, steps } = setUp();
  quarantine.setObjects([{ ...object(0), name: "main" }]);
  expect(quarantine.list()).toEqual([]);
  expect(steps).toContain("quarantine-unreadable");
});

// Any client may write to the store.
test.each(["", "{", "[]", '{"crashes":"3"}', 7, null])(
  "ignores an unreadable object: %j",
  (value) => {
    const { quarantine, steps } = setUp();
    quarantine.setObjects([{ name: FINGERPRINT.name, version: 9, value }]);
    expect(quarantine.remainingTime(FINGERPRINT)).toBe(0);
    expect(steps).toContain("quarantine-unreadable");
  },
);

// If a restart erased the earlier crashes, the request could crash three more workers after each restart.
test("keeps a suspect across a restart of all instances", async () => {
  const { clock, quarantine, crash, written } = setUp();
  quarantine.start();
  crash(2);
  await clock.advance(1_000);
  expect(written).toEqual([writeMatching(2, 0)]);
  quarantine.close();

  const later = setUp();
  later.quarantine.start();
  later.quarantine.setObjects([object(later.clock.now() - 5_000, 2)]);
  expect(later.quarantine.remainingTime(FINGERPRINT)).toBe(0);
  expect(later.quarantine.list()).toEqual([]);
  later.crash(1);
  expect(later.quarantine.remainingTime(FINGERPRINT)).toBe(DURATION);
  await later.clock.advance(2_000);
  expect(later.written).toEqual([writeMatching(3, 9)]);
  later.quarantine.close();
});

// If crashes were counted twice, two of them would be enough for a quarantine.
test("does not count a crash twice if both the store and another instance report it", async () => {
  let peerCounts = { runs: 0, failures: 0 };
  const { clock, quarantine, crash } = setUp({ peerCounts: () => peerCounts });
  quarantine.start();
  crash(1);
  quarantine.setObjects([object(clock.now(), 2)]);
  expect(quarantine.remainingTime(FINGERPRINT)).toBe(0);
  // The other instance's digest arrives after its write to the store.
  peerCounts = { runs: 1, failures: 1 };
  await clock.advance(3_000);
  expect(quarantine.remainingTime(FINGERPRINT)).toBe(0);
  // That instance stops, and the next crash is the third.
  peerCounts = { runs: 0, failures: 0 };
  expect(quarantine.remainingTime(FINGERPRINT)).toBe(0);
  crash(1);
  expect(quarantine.remainingTime(FINGERPRINT)).toBe(DURATION);
  quarantine.close();
});

test("a request answered by the next worker is not a suspect, and its existing record is erased", async () => {
  const { clock, quarantine, crash, written, erased } = setUp({ canErase: true });
  quarantine.start();
  crash(2);
  await clock.advance(200);
  quarantine.recordAnswer(FINGERPRINT);
  await clock.advance(2_000);
  expect(written).toEqual([]);
  quarantine.setObjects([object(clock.now(), 2)]);
  await clock.advance(300);
  expect(erased).toContain(`${QUARANTINE_KEY}/${FINGERPRINT.name}`);
  quarantine.close();
});

test("erases a suspect without further crashes after ten minutes", async () => {
  const { clock, quarantine, erased } = setUp({ canErase: true });
  quarantine.start();
  quarantine.setObjects([object(clock.now(), 2)]);
  await clock.advance(599_000);
  expect(erased).toEqual([]);
  await clock.advance(1_500);
  expect(erased.length).toBeGreaterThan(0);
  quarantine.setObjects([]);
  expect(quarantine.remainingTime(FINGERPRINT)).toBe(0);
  quarantine.close();
});

// If a suspect's record prevented the write, the quarantine would be lost when the instances restart.
test("writes a quarantine over the store's record of the same request as a suspect", async () => {
  const { clock, quarantine, crash, written } = setUp({ outcomes: [conflictWith(2)] });
  quarantine.start();
  crash(3);
  await clock.advance(4_000);
  expect(written).toEqual([writeMatching(3, 0), writeMatching(3, 12)]);
  quarantine.close();
});

// A suspect written over a quarantine would end it, and the request would be sent to workers again.
test("does not replace a quarantine by a suspect", async () => {
  const { clock, quarantine, crash, written } = setUp({ outcomes: [conflictWith(3)] });
  quarantine.start();
  crash(2);
  await clock.advance(4_000);
  expect(written).toEqual([writeMatching(2, 0)]);
  quarantine.close();
});

// Two workers that each ran 200 requests crash. Writing all 200 suspects at once would burden the store.
test("limits the number of writes if many workers crash at once", async () => {
  const { clock, quarantine, written } = setUp();
  quarantine.start();
  const fingerprints = Array.from({ length: 200 }, (_, index) =>
    fingerprintFromName(index.toString(16).padStart(16, "0")),
  );
  for (let worker = 0; worker < 2; worker++) quarantine.recordCrash(fingerprints);
  await clock.advance(2_000);
  expect(written.length).toBeLessThanOrEqual(8);
  quarantine.close();
});

// The record is in the store only: this instance has started since. Without it, the request would crash workers again.
test("keeps a quarantine that the store has lost in a restore, and writes it again once", async () => {
  const { clock, quarantine, written } = setUp({ canErase: true });
  quarantine.start();
  quarantine.setObjects([object(0)]);
  quarantine.setObjects([], { isRestored: true });
  expect(quarantine.remainingTime(FINGERPRINT)).toBeGreaterThan(0);
  await clock.advance(300);
  expect(written).toEqual([writeMatching(3, 0)]);
  quarantine.setObjects([object(0)]);
  await clock.advance(2_000);
  expect(written.length).toBe(1);
  quarantine.setObjects([]);
  expect(quarantine.remainingTime(FINGERPRINT)).toBe(0);
});

// The copy contains the record of the suspicion, which was replaced by that of the quarantine.
test("keeps a quarantine of which the store has only the suspicion after a restore", async () => {
  const { clock, quarantine, written } = setUp({ canErase: true });
  quarantine.start();
  quarantine.setObjects([object(0, 3)]);
  quarantine.setObjects([object(0, 2)], { isRestored: true });
  expect(quarantine.remainingTime(FINGERPRINT)).toBeGreaterThan(0);
  await clock.advance(300);
  expect(written).toEqual([writeMatching(3, 9)]);
});

import { expect, test } from "vitest";
import { createVirtualClock } from "../standin/memory/index.ts";
import { createCrashSuspects } from "./crash_suspects.ts";
import type { CrashSuspects } from "./crash_suspects.ts";
import { fingerprintFromName, fingerprintPart } from "./request_fingerprint.ts";
import type { RoutedContext } from "./routed_context.ts";

const FINGERPRINT = fingerprintFromName("00000007aaaaaaaa");
const SERVICE = "desk";
const SHARED = fingerprintPart(SERVICE, "a1").name;

interface SuspectsSetup {
  readonly clock: ReturnType<typeof createVirtualClock>;
  readonly suspects: CrashSuspects;
  /** The suspects of each reported broken connection. */
  readonly reported: string[][];
  readonly answered: string[];
  /** Milliseconds of quarantine, by fingerprint. */
  readonly quarantined: Map<string, number>;
}

function setUp(): SuspectsSetup {
  const clock = createVirtualClock();
  const reported: string[][] = [];
  const answered: string[] = [];
  const quarantined = new Map<string, number>();
  const quarantine = {
    remainingTime: ({ name }: { name: string }) => quarantined.get(name) ?? 0,
    recordAnswer: ({ name }: { name: string }) => void answered.push(name),
  };
  const checks: RoutedContext["checks"] = {
    reportBrokenConnection: (_worker, found) => reported.push(found.map(({ name }) => name)),
  };
  const context = { clock, quarantine, partQuarantine: quarantine, checks };
  const promptParts = ["a1", "last"].map((id) => ({ id, tokens: 100 }));
  const admitted = {
    arrival: { promptParts },
    service: { name: SERVICE },
    fingerprint: FINGERPRINT,
  };
  const suspects = createCrashSuspects(context, admitted);
  return { clock, suspects, reported, answered, quarantined };
}

function runWith(firstEventAt: number | undefined): Parameters<CrashSuspects["recordEvents"]>[0] {
  const worker = { id: "w", startedAt: 1, address: "10.9.0.1:80" };
  return { worker, firstEventAt };
}

test("a request and the parts that others share are suspects until the worker answers", () => {
  const { suspects, reported } = setUp();
  suspects.reportBrokenConnection(runWith(undefined));
  expect(reported).toEqual([[FINGERPRINT.name, SHARED]]);
});

// A worker that crashes loses all streams that it is sending. Each of them would be quarantined after three such losses.
test("a run that the worker has been answering is no suspect", async () => {
  const { clock, suspects, reported } = setUp();
  const run = runWith(clock.now());
  suspects.reportBrokenConnection(run);
  await clock.advance(300);
  suspects.reportBrokenConnection(run);
  expect(reported).toEqual([[FINGERPRINT.name, SHARED], []]);
});

// Guards against a request that crashes each worker some time after its first event and is never suspected, and against
// the quarantine of a long stream that loses several workers.
test("only the first loss of a worker that has been answering makes the request a suspect", async () => {
  const { clock, suspects, reported } = setUp();
  const run = runWith(clock.now());
  await clock.advance(300);
  suspects.reportBrokenConnection(run);
  suspects.reportBrokenConnection(run);
  expect(reported).toEqual([[FINGERPRINT.name], []]);
});

// The crash may follow the first event, which then is no answer.
test("events count as an answer for the parts only after some time", async () => {
  const { clock, suspects, answered } = setUp();
  const run = runWith(clock.now());
  suspects.recordEvents(run);
  expect(answered).toEqual([]);
  await clock.advance(300);
  suspects.recordEvents(run);
  suspects.recordEvents(run);
  expect(answered).toEqual([SHARED]);
  suspects.recordAnswer();
  expect(answered).toEqual([SHARED, FINGERPRINT.name]);
});

test("a request may be sent after the longest quarantine of it and its parts", () => {
  const { suspects, quarantined } = setUp();
  expect(suspects.remainingTime()).toBe(0);
  quarantined.set(SHARED, 700);
  quarantined.set(FINGERPRINT.name, 200);
  expect(suspects.remainingTime()).toBe(700);
});

import { expect, test } from "vitest";
import { ConnectResult } from "../interface/index.ts";
import { fingerprintFromName } from "../request/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { createWorkerChecks } from "./worker_checks.ts";

const WORKER = { id: "i-1", startedAt: 1, address: "10.0.0.1:80" };
const [a, b, c] = ["a", "b", "c"].map((letter) => fingerprintFromName(letter.repeat(16)));

function setUp(found: ConnectResult, isLeaving = false) {
  const clock = createVirtualClock();
  const ended: string[][] = [];
  let reached = 0;
  const checks = createWorkerChecks({
    clock,
    tryConnect: async () => {
      reached++;
      await Promise.resolve();
      return found;
    },
    isLeaving: () => isLeaving,
    log: { changed: () => undefined },
    onEnded: (_worker, fingerprints) =>
      void ended.push(fingerprints.map(({ name }) => name[0] ?? "")),
  });
  return { clock, checks, ended, reached: () => reached };
}

test("reports a worker that refuses connections as ended with all its requests, after one attempt", async () => {
  const { clock, checks, ended, reached } = setUp(ConnectResult.Refused);
  for (const fingerprint of [a, b, a])
    if (fingerprint !== undefined) checks.reportBrokenConnection(WORKER, [fingerprint]);
  await clock.advance(10);
  expect(ended).toEqual([["a", "b"]]);
  expect(reached()).toBe(1);
});

test("attributes a run whose connection breaks slightly later to the same end of the worker", async () => {
  const { clock, checks, ended, reached } = setUp(ConnectResult.Refused);
  if (a !== undefined) checks.reportBrokenConnection(WORKER, [a]);
  await clock.advance(300);
  if (c !== undefined) checks.reportBrokenConnection(WORKER, [c]);
  await clock.advance(10);
  expect(ended).toEqual([["a"], ["c"]]);
  expect(reached()).toBe(1);
});

test("does not report the requests of a leaving worker as the cause of its end", async () => {
  const { clock, checks, ended } = setUp(ConnectResult.Refused, true);
  if (a !== undefined) checks.reportBrokenConnection(WORKER, [a]);
  await clock.advance(10);
  expect(ended).toEqual([]);
});

// Connections may be reset while their workers keep running. Their requests must not count as crashes.
test.each([ConnectResult.Accepted, ConnectResult.Unanswered])(
  "does not report a worker as ended if a new connection is %s",
  async (found) => {
    const { clock, checks, ended } = setUp(found);
    if (a !== undefined) checks.reportBrokenConnection(WORKER, [a]);
    await clock.advance(10);
    expect(ended).toEqual([]);
  },
);

import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import { createWorkerLimits } from "./worker_limits.ts";
import type { WorkerLimits } from "./worker_limits.ts";

const WORKER = 4_711;
const WINDOW = 4_000;
/** In any window, a worker may receive one and a half times its limit and five more requests. */
const maxRequests = (limit: number): number => limit * 1.5 * (WINDOW / 1_000) + 5;

interface Member {
  readonly limits: WorkerLimits;
  readonly self: number;
  /** Milliseconds by which this instance's time differs from the others'. */
  clockOffset: number;
  /** The instances known to this one. */
  visibleInstances: number[];
}

/** Creates instances that have all received the limit and always have requests for the worker. */
function createMembers(size: number, limit: number) {
  const clock = { now: 1_700_000_000_000 };
  const random = createSeededRandom(3);
  const allInstances = Array.from({ length: size }, () => Math.floor(random.next() * 2 ** 32));
  const members: Member[] = allInstances.map((self) => {
    const member: Member = {
      self,
      clockOffset: 0,
      visibleInstances: allInstances,
      limits: createWorkerLimits({
        time: () => clock.now + member.clockOffset,
        self,
        instances: () => member.visibleInstances,
      }),
    };
    return member;
  });
  for (const { limits } of members) {
    limits.recordAnswer(WORKER, { perSecond: limit, sentAt: clock.now });
  }
  const sent: number[] = [];
  /**
   * Advances the time. In each step, each instance has a request for the worker with this
   * probability.
   */
  const advance = (milliseconds: number, probability = 1): void => {
    for (let end = clock.now + milliseconds; clock.now < end; clock.now += 20) {
      for (const { limits } of members) {
        if (random.next() >= probability || !limits.canSend(WORKER)) continue;
        limits.recordSent(WORKER);
        sent.push(clock.now);
      }
    }
  };
  return { clock, members, sent, advance };
}

function maxInWindow(sent: readonly number[]): number {
  let first = 0;
  let max = 0;
  for (const [last, at] of sent.entries()) {
    while ((sent[first] ?? 0) <= at - WINDOW) first++;
    max = Math.max(max, last - first + 1);
  }
  return max;
}

test.each([
  [1, 1],
  [6, 1],
  [6, 2.6],
  [13, 0.4],
  [60, 7],
  [300, 1],
  [300, 40],
])("sends as many requests as the worker accepts (%d instances, %d per second)", (size, limit) => {
  const { sent, advance } = createMembers(size, limit);
  advance(60_000);
  expect(maxInWindow(sent)).toBeLessThanOrEqual(maxRequests(limit));
  expect(sent.length).toBeGreaterThanOrEqual(60 * limit * 0.95);
  expect(sent.length).toBeLessThanOrEqual(60 * limit * 1.05 + 1);
});

test("does not use saved-up capacity all at once after a time without requests", () => {
  const { sent, advance } = createMembers(300, 3);
  advance(20_000, 0);
  advance(10_000);
  expect(maxInWindow(sent)).toBeLessThanOrEqual(maxRequests(3));
});

test("stays within the limit while instances join and leave and their views differ", () => {
  const { members, sent, advance } = createMembers(60, 5);
  const allInstances = members.map(({ self }) => self);
  for (let round = 0; round < 40; round++) {
    for (const [index, member] of members.entries()) {
      const isGone = (other: number): boolean => (other + round + (index % 3)) % 9 === 0;
      member.visibleInstances = allInstances.filter(
        (self) => self === member.self || !isGone(self),
      );
    }
    advance(500);
  }
  expect(maxInWindow(sent)).toBeLessThanOrEqual(maxRequests(5));
});

test("stays within the limit if the instances' times differ", () => {
  const { members, sent, advance } = createMembers(6, 2.6);
  for (const [index, member] of members.entries()) member.clockOffset = (index - 3) * 120;
  advance(60_000);
  expect(maxInWindow(sent)).toBeLessThanOrEqual(maxRequests(2.6));
});

test("does not assign the slots again when the limit changes with each answer", () => {
  const { clock, members, sent, advance } = createMembers(6, 3);
  for (let round = 0; round < 150; round++) {
    for (const { limits } of members) {
      limits.recordAnswer(WORKER, { perSecond: 3 - (round % 5) / 100, sentAt: clock.now });
    }
    advance(200);
  }
  expect(maxInWindow(sent)).toBeLessThanOrEqual(maxRequests(3));
});

test("sends an occasional request to a worker with a limit of zero", () => {
  const { sent, advance } = createMembers(6, 0);
  advance(60_000);
  expect(sent.length).toBeGreaterThanOrEqual(4);
  expect(maxInWindow(sent)).toBeLessThanOrEqual(2);
});

test("removes a limit after an answer without one, unless the request was sent before the limit", () => {
  const { clock, members } = createMembers(1, 1);
  const limits = members[0]?.limits;
  limits?.recordAnswer(WORKER, { perSecond: undefined, sentAt: clock.now - 10 });
  expect(limits?.limitOf(WORKER)).toBe(1);
  clock.now += 100;
  limits?.recordAnswer(WORKER, { perSecond: undefined, sentAt: clock.now - 10 });
  expect(limits?.limitOf(WORKER)).toBeUndefined();
  expect(limits?.canSend(WORKER)).toBe(true);
});

test("uses the latest report, and does not make a report newer by forwarding it", () => {
  const { clock, members } = createMembers(2, 1);
  const [first, second] = members;
  if (first === undefined || second === undefined) throw new Error("The test has two members.");
  const early = first.limits.recentReports();
  clock.now += 500;
  first.limits.recordAnswer(WORKER, { perSecond: undefined, sentAt: clock.now - 1 });
  for (const report of first.limits.recentReports()) second.limits.receiveReport(report);
  expect(second.limits.limitOf(WORKER)).toBeUndefined();
  for (const report of early) {
    first.limits.receiveReport(report);
    second.limits.receiveReport(report);
  }
  expect(first.limits.limitOf(WORKER)).toBeUndefined();
  expect(second.limits.limitOf(WORKER)).toBeUndefined();
  clock.now += 4_000;
  expect(first.limits.recentReports()).toEqual([]);
});

test("returns the time until a worker accepts the next request from any instance", () => {
  const { clock, members } = createMembers(6, 0.5);
  const timeToNextSlot = members[0]?.limits.timeToNextSlot([WORKER, 1]);
  expect(timeToNextSlot).toBeCloseTo(2_000 - (clock.now % 2_000));
  expect(members[0]?.limits.timeToNextSlot([1])).toBeUndefined();
});

test("removes the limit of a worker that was replaced", () => {
  const { members } = createMembers(1, 1);
  members[0]?.limits.forget(WORKER);
  expect(members[0]?.limits.limitOf(WORKER)).toBeUndefined();
});

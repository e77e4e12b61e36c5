import { describe, expect, test } from "vitest";
import { chooseEjections, ejectedAgain, usablePart } from "./ejection.ts";
import type { PeerReading } from "./ejection.ts";

const GAP_TARGET = 44;

function createPeers(
  count: number,
  changes: Record<number, Partial<PeerReading>> = {},
): PeerReading[] {
  return Array.from({ length: count }, (_, index) => ({
    worker: `w${index}`,
    gap: 30,
    runs: 50,
    failures: 0,
    isOut: false,
    ...changes[index],
  }));
}

function ejected(peers: readonly PeerReading[]): string[] {
  return chooseEjections(peers, { gapTarget: GAP_TARGET });
}

describe("ejection", () => {
  test("ejects a server that is slower than its peers", () => {
    expect(ejected(createPeers(5, { 2: { gap: 150 } }))).toEqual(["w2"]);
  });

  test("ejects a server that fails requests that its peers answer", () => {
    // It returns errors immediately, so it always looks idle and attracts the most work.
    expect(ejected(createPeers(5, { 1: { failures: 40 } }))).toEqual(["w1"]);
  });

  test("ejects no server if all are slow or all fail", () => {
    // A bad revision makes every server fail. Removing servers would add overload to the failures.
    const slow = Object.fromEntries([0, 1, 2, 3, 4].map((index) => [index, { gap: 150 }]));
    const failing = Object.fromEntries([0, 1, 2, 3, 4].map((index) => [index, { failures: 40 }]));
    expect(ejected(createPeers(5, slow))).toEqual([]);
    expect(ejected(createPeers(5, failing))).toEqual([]);
  });

  test("ejects at most a fifth of the servers at once, the worst first", () => {
    const bad = { 0: { gap: 100 }, 1: { gap: 300 }, 2: { gap: 200 } };
    expect(ejected(createPeers(10, bad))).toEqual(["w1", "w2"]);
    expect(ejected(createPeers(10, { ...bad, 5: { isOut: true }, 6: { isOut: true } }))).toEqual(
      [],
    );
    expect(ejected(createPeers(3, { 0: { gap: 300 } }))).toEqual([]);
  });

  test("does not eject a server below the target even if its peers are much faster", () => {
    expect(ejected(createPeers(5, { 0: { gap: 40 }, 1: { gap: 10 }, 2: { gap: 10 } }))).toEqual([]);
  });

  test("restores an ejected server gradually, and later with each consecutive ejection", () => {
    const first = ejectedAgain(undefined, 0);
    expect([5_000, 10_000, 25_000, 50_000].map((now) => usablePart(first, now))).toEqual([
      0, 0.1, 0.55, 1,
    ]);
    const second = ejectedAgain(first, 20_000);
    expect(second.until).toBe(40_000);
    expect(ejectedAgain(second, 10_000_000).count).toBe(1);
  });
});

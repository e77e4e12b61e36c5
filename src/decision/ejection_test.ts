import { describe, expect, test } from "vitest";
import { chooseEjections, nextEjection, activeFraction } from "./ejection.ts";
import type { PeerStats } from "./ejection.ts";

const GAP_TARGET = 44;

function createPeers(count: number, changes: Record<number, Partial<PeerStats>> = {}): PeerStats[] {
  return Array.from({ length: count }, (_, index) => ({
    worker: `w${index}`,
    tokenGap: 30,
    runs: 50,
    failures: 0,
    isEjected: false,
    ...changes[index],
  }));
}

function ejected(peers: readonly PeerStats[]): string[] {
  return chooseEjections(peers, { gapTarget: GAP_TARGET });
}

describe("ejection", () => {
  test("ejects a server that is slower than its peers", () => {
    expect(ejected(createPeers(5, { 2: { tokenGap: 150 } }))).toEqual(["w2"]);
  });

  test("ejects a server that fails requests that its peers answer", () => {
    // It returns errors immediately, so it always looks idle and attracts the most work.
    expect(ejected(createPeers(5, { 1: { failures: 40 } }))).toEqual(["w1"]);
  });

  test("ejects no server if all are slow or all fail", () => {
    // A bad revision makes every server fail. Removing servers would add overload to the failures.
    const slow = Object.fromEntries([0, 1, 2, 3, 4].map((index) => [index, { tokenGap: 150 }]));
    const failing = Object.fromEntries([0, 1, 2, 3, 4].map((index) => [index, { failures: 40 }]));
    expect(ejected(createPeers(5, slow))).toEqual([]);
    expect(ejected(createPeers(5, failing))).toEqual([]);
  });

  test("ejects at most a fifth of the servers at once, the worst first", () => {
    const bad = { 0: { tokenGap: 100 }, 1: { tokenGap: 300 }, 2: { tokenGap: 200 } };
    expect(ejected(createPeers(10, bad))).toEqual(["w1", "w2"]);
    expect(
      ejected(createPeers(10, { ...bad, 5: { isEjected: true }, 6: { isEjected: true } })),
    ).toEqual([]);
    expect(ejected(createPeers(3, { 0: { tokenGap: 300 } }))).toEqual([]);
  });

  test("does not eject a server below the target even if its peers are much faster", () => {
    expect(
      ejected(createPeers(5, { 0: { tokenGap: 40 }, 1: { tokenGap: 10 }, 2: { tokenGap: 10 } })),
    ).toEqual([]);
  });

  test("restores an ejected server gradually, and later with each consecutive ejection", () => {
    const first = nextEjection(undefined, 0);
    expect([5_000, 10_000, 25_000, 50_000].map((now) => activeFraction(first, now))).toEqual([
      0, 0.1, 0.55, 1,
    ]);
    const second = nextEjection(first, 20_000);
    expect(second.until).toBe(40_000);
    expect(nextEjection(second, 10_000_000).count).toBe(1);
  });
});

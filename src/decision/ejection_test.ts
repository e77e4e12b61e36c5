import { describe, expect, test } from "vitest";
import { chooseEjections, ejectedAgain, usablePart } from "./ejection.ts";
import type { PeerReading } from "./ejection.ts";

const GAP_TARGET = 44;

function somePeers(
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
  test("a server slower than its peers goes out", () => {
    expect(ejected(somePeers(5, { 2: { gap: 150 } }))).toEqual(["w2"]);
  });

  test("a server that fails what others answer goes out", () => {
    // It answers errors at once, so it always looks idle and draws the most work.
    expect(ejected(somePeers(5, { 1: { failures: 40 } }))).toEqual(["w1"]);
  });

  test("when all are slow or all fail, none goes out", () => {
    // A bad revision makes every server fail. Taking servers away would add an overload to the fault.
    const slow = Object.fromEntries([0, 1, 2, 3, 4].map((index) => [index, { gap: 150 }]));
    const failing = Object.fromEntries([0, 1, 2, 3, 4].map((index) => [index, { failures: 40 }]));
    expect(ejected(somePeers(5, slow))).toEqual([]);
    expect(ejected(somePeers(5, failing))).toEqual([]);
  });

  test("at most a fifth are out at once, the worst first", () => {
    const bad = { 0: { gap: 100 }, 1: { gap: 300 }, 2: { gap: 200 } };
    expect(ejected(somePeers(10, bad))).toEqual(["w1", "w2"]);
    expect(ejected(somePeers(10, { ...bad, 5: { isOut: true }, 6: { isOut: true } }))).toEqual([]);
    expect(ejected(somePeers(3, { 0: { gap: 300 } }))).toEqual([]);
  });

  test("a server below the target is left alone however quick its peers are", () => {
    expect(ejected(somePeers(5, { 0: { gap: 40 }, 1: { gap: 10 }, 2: { gap: 10 } }))).toEqual([]);
  });

  test("it comes back little by little, and later each time in a row", () => {
    const first = ejectedAgain(undefined, 0);
    expect([5_000, 10_000, 25_000, 50_000].map((now) => usablePart(first, now))).toEqual([
      0, 0.1, 0.55, 1,
    ]);
    const second = ejectedAgain(first, 20_000);
    expect(second.until).toBe(40_000);
    expect(ejectedAgain(second, 10_000_000).times).toBe(1);
  });
});

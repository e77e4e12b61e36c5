import { expect, test } from "vitest";
import { createCallerMemory } from "./caller_memory.ts";
import type { CallerHold, CallerMemory, ReleasedHold } from "./caller_memory.ts";

const LIMIT = 1_000;

interface Fixture {
  readonly memory: CallerMemory;
  readonly released: ReleasedHold[];
  open(name: { address: string; account?: string; isKept?: boolean }): CallerHold;
  advance(milliseconds: number): void;
}

function fixture(): Fixture {
  const released: ReleasedHold[] = [];
  let now = 0;
  const memory = createCallerMemory({
    limit: LIMIT,
    now: () => now,
    onRelease: (hold) => void released.push(hold),
  });
  return {
    memory,
    released,
    open: ({ address, account, isKept = false }) => {
      const hold: CallerHold = memory.open({ address: () => address, account }, () => {
        if (!isKept) hold.close();
        return !isKept;
      });
      return hold;
    },
    advance: (milliseconds) => void (now += milliseconds),
  };
}

/** Holds of equal size at different addresses, or with different accounts. */
function openCrowd(fixed: Fixture, name: (index: number) => object): CallerHold[] {
  return Array.from({ length: 20 }, (_, index) => {
    const hold = fixed.open({ address: "crowd", ...name(index) });
    hold.set(48);
    return hold;
  });
}

// Guards against an ordinary caller that is refused because a crowd came before it.
test.each([
  ["one address with many accounts", (index: number) => ({ account: `crowd-${index}` })],
  [
    "one account at many addresses",
    (index: number) => ({ address: `crowd-${index}`, account: "crowd" }),
  ],
])("a larger request of another caller stays when the crowd is %s", (_title, name) => {
  const memory = fixture();
  openCrowd(memory, name);
  const ordinary = memory.open({ address: "other", account: "other" });
  ordinary.set(100);
  expect(ordinary.bytes).toBe(100);
  expect(memory.released.length).toBeGreaterThan(0);
  expect(memory.memory.held).toBeLessThanOrEqual(LIMIT);
});

test("with a shared account, what the caller's address holds decides", () => {
  const memory = fixture();
  openCrowd(memory, () => ({ account: "shared" }));
  const ordinary = memory.open({ address: "other", account: "shared" });
  ordinary.set(100);
  expect(ordinary.bytes).toBe(100);
});

test("within one address and account, what is held for long goes first", () => {
  const memory = fixture();
  openCrowd(memory, () => ({ account: "shared" }));
  memory.advance(10_000);
  const ordinary = memory.open({ address: "crowd", account: "shared" });
  ordinary.set(100);
  expect(ordinary.bytes).toBe(100);
});

test("the caller that asks for more goes first if it holds the most", () => {
  const memory = fixture();
  const small = memory.open({ address: "small" });
  small.set(100);
  const large = memory.open({ address: "large" });
  large.set(950);
  expect([small.bytes, large.bytes]).toEqual([100, 0]);
  expect(memory.released).toMatchObject([{ address: "large", held: 950, heldByAll: 1_050 }]);
});

test("what can't be released stays, and the next one is released", () => {
  const memory = fixture();
  const kept = memory.open({ address: "kept", isKept: true });
  kept.set(800);
  const other = memory.open({ address: "other" });
  other.set(300);
  expect([kept.bytes, other.bytes]).toEqual([800, 0]);
});

// Guards against an ordinary request that is refused because others at its address fill what may be kept.
test("a caller with most of the memory may keep more only for smaller requests", () => {
  const memory = fixture();
  const first = memory.open({ address: "crowd", isKept: true });
  first.set(450);
  expect(first.keep()).toBe(true);
  const second = memory.open({ address: "crowd", isKept: true });
  second.set(450);
  expect(second.keep()).toBe(false);
  second.close();
  const small = memory.open({ address: "crowd" });
  small.set(100);
  expect(small.keep()).toBe(true);
  const ordinary = memory.open({ address: "other" });
  ordinary.set(100);
  expect(ordinary.keep()).toBe(true);
});

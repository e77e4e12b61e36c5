import { expect, test } from "vitest";
import { DialFailure } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { connectTcp, dialDirect, isConnectionRefused } from "./dial.ts";

// Guards against taking a reset for proof that no process listens: the worker may still be running.
test("a connection reset does not count as a refusal", () => {
  expect(isConnectionRefused(Object.assign(new Error("reset"), { code: "ECONNRESET" }))).toBe(
    false,
  );
  expect(isConnectionRefused(Object.assign(new Error("refused"), { code: "ECONNREFUSED" }))).toBe(
    true,
  );
});

// Guards against an address in the store or in a digest that ends the process, because Node.js throws for such a port.
test.each(["127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:x", "127.0.0.1"])(
  "a connection to %s fails like any other",
  async (address) => {
    const clock = createVirtualClock();
    const failures: DialFailure[] = [];
    const listener = {
      opened: () => undefined,
      failed: (failure: DialFailure) => void failures.push(failure),
    };
    dialDirect(address, { clock, connect: connectTcp }, listener);
    expect(failures).toEqual([]);
    await clock.advance(1);
    expect(failures).toEqual([DialFailure.Unanswered]);
  },
);

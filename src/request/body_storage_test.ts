import fc from "fast-check";
import { expect, test } from "vitest";
import { createBodyStorage } from "./body_storage.ts";

test("a body of any pieces is taken whole", () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 3_000 })), (parts) => {
      const storage = createBodyStorage();
      for (const part of parts) storage.append(Buffer.from(part));
      const whole = Buffer.concat(parts);
      expect(storage.length).toBe(whole.length);
      expect(storage.take().equals(whole)).toBe(true);
      expect([storage.length, storage.capacity]).toEqual([0, 0]);
    }),
  );
});

// Guards against a body in tiny pieces that takes a multiple of its size.
test("the memory of a body in pieces of one byte is bounded by its size", () => {
  const storage = createBodyStorage();
  for (let index = 0; index < 1_000_000; index++) storage.append(Buffer.from([index]));
  expect(storage.capacity).toBeLessThanOrEqual(1_000_000 + 65_536);
});

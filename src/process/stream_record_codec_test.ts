import fc from "fast-check";
import { expect, test } from "vitest";
import { decodeStreamRecords, encodeStreamRecords } from "./stream_record_codec.ts";
import type { StreamRecordMessage } from "./stream_record_codec.ts";

const NAME = fc.string({ maxLength: 12 });
const ATTEMPT = fc.bigInt({ min: 0n, max: 2n ** 64n - 1n });
const VERSION = fc.record({ service: NAME, version: NAME });
const MESSAGE: fc.Arbitrary<StreamRecordMessage> = fc.record({
  sender: NAME,
  question: fc.nat({ max: 2 ** 32 - 1 }),
  records: fc.array(fc.record({ attempt: ATTEMPT, version: VERSION })),
  askedAttempts: fc.array(ATTEMPT),
  askedServices: fc.array(NAME),
  recent: fc.array(fc.record({ service: NAME, versions: fc.array(NAME) })),
});

test("a decoded message equals the encoded one", () => {
  fc.assert(
    fc.property(MESSAGE, (message) => {
      expect(decodeStreamRecords(encodeStreamRecords(message))).toEqual(message);
    }),
  );
});

// Datagrams can come from any source. An invalid or damaged one must not terminate the instance.
test("arbitrary bytes decode to a message or to undefined", () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      expect(() => decodeStreamRecords(bytes)).not.toThrow();
    }),
  );
});

test("each version is contained once, however many records refer to it", () => {
  const message = (count: number): StreamRecordMessage => ({
    sender: "10.0.0.1:9",
    question: 0,
    records: Array.from({ length: count }, (_, index) => ({
      attempt: BigInt(index),
      version: { service: "entry-model", version: "v1.2" },
    })),
    askedAttempts: [],
    askedServices: [],
    recent: [],
  });
  const bytesOf = (count: number): number => encodeStreamRecords(message(count)).length;
  expect((bytesOf(101) - bytesOf(1)) / 100).toBeLessThanOrEqual(10);
});

import fc from "fast-check";
import { expect, test } from "vitest";
import { createEventSplitter } from "./event_splitter.ts";

const STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

test("events are returned complete and in order, however the bytes are split", () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }), (sizes) => {
      const splitter = createEventSplitter();
      const bytes = Buffer.from(STREAM);
      let out = "";
      let count = 0;
      for (let at = 0, step = 0; at < bytes.length; step++) {
        const size = sizes[step % sizes.length] ?? 1;
        const completeEvents = splitter.push(bytes.subarray(at, at + size));
        out += completeEvents.bytes.toString();
        count += completeEvents.count;
        expect(out === "" || /\n\r?\n$/.test(out)).toBe(true);
        at += size;
      }
      expect(out).toBe(STREAM);
      expect(count).toBe(3);
      expect(splitter.lastId).toBe("3");
      expect(splitter.partialEvent.length).toBe(0);
    }),
  );
});

// A worker crashes in the middle of an event, and another continues after the last complete one. If
// the partial event were forwarded, the caller would receive bytes that no worker sent in that
// order.
test("a partial event is discarded when the stream continues at another worker", () => {
  const splitter = createEventSplitter();
  const first = splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  expect(first.bytes.toString()).toBe("id: 1\ndata: a\n\n");
  splitter.discardPartial();
  const second = splitter.push(Buffer.from("id: 2\ndata: b\n\n"));
  expect(second.bytes.toString()).toBe("id: 2\ndata: b\n\n");
  expect(splitter.lastId).toBe("2");
});

// A worker sends bytes endlessly without completing an event. Buffered without a limit, they would
// exhaust the memory and end the requests of all other callers of this instance.
test("a stream without a complete event is abandoned, and a resumed stream starts anew", () => {
  const splitter = createEventSplitter();
  const chunk = Buffer.alloc(65_536, "x");
  for (let fed = 0; fed < 100; fed++) {
    expect(splitter.push(chunk).count).toBe(0);
    expect(splitter.partialEvent.length).toBeLessThanOrEqual(4_194_304);
  }
  expect(splitter.isTooLong).toBe(true);
  splitter.discardPartial();
  expect(splitter.isTooLong).toBe(false);
  expect(splitter.push(Buffer.from("id: 7\ndata: a\n\n")).count).toBe(1);
});

// A worker's event id becomes a header of a request to another worker. If it contained a line
// break, the other worker could parse a second request that nobody sent.
test("an id that is not valid in a header is ignored", () => {
  for (const id of ["5\rX-Other: 1", "5 6", "\u0000", "é", "x".repeat(200)]) {
    const splitter = createEventSplitter();
    splitter.push(Buffer.from(`id: 4\ndata: a\n\nid: ${id}\ndata: b\n\n`, "latin1"));
    expect(splitter.lastId).toBe("4");
  }
});

test("arbitrary bytes are returned in order, buffered or abandoned, and ids are always valid in a header", () => {
  const noise = fc.uint8Array({ maxLength: 400 });
  const lines = fc
    .array(fc.constantFrom("id: 3", "id:\r", "data: a", "", "\r", "id: é", ": note"), {
      maxLength: 30,
    })
    .map((parts) => new TextEncoder().encode(parts.join("\n")));
  fc.assert(
    fc.property(fc.array(fc.oneof(noise, lines)), (chunks) => {
      const splitter = createEventSplitter();
      const out = chunks.map((chunk) => splitter.push(Buffer.from(chunk)).bytes);
      expect(Buffer.concat([...out, splitter.partialEvent])).toEqual(Buffer.concat(chunks));
      expect(splitter.lastId ?? "1").toMatch(/^[\x21-\x7e]+$/);
    }),
  );
});

// Guards against an end of an event that is missed or found twice, since only new bytes are searched for it.
test("the same events are found however the lines of a stream are split", () => {
  const text = fc
    .array(fc.constantFrom("id: 3", "\r", "", "data: a", "x".repeat(40)), { maxLength: 40 })
    .map((lines) => Buffer.from(lines.join("\n")));
  const sizes = fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1 });
  fc.assert(
    fc.property(text, sizes, (bytes, pieceSizes) => {
      const whole = createEventSplitter();
      const expected = whole.push(bytes);
      const splitter = createEventSplitter();
      const found: Buffer[] = [];
      let count = 0;
      for (let at = 0, step = 0; at < bytes.length; step++) {
        const size = pieceSizes[step % pieceSizes.length] ?? 1;
        const events = splitter.push(bytes.subarray(at, at + size));
        found.push(events.bytes);
        count += events.count;
        at += size;
      }
      expect(Buffer.concat(found)).toEqual(expected.bytes);
      expect(count).toBe(expected.count);
      expect(splitter.partialEvent).toEqual(whole.partialEvent);
    }),
    { numRuns: 500 },
  );
});

// Guards against events that a caller gets twice, because the next worker begins the stream anew.
test.each([
  { first: "id: 2\ndata: b\n\n", isRepeated: true },
  { first: "id: 1\ndata: a\n\n", isRepeated: true },
  { first: "id: 3\ndata: c\n\n", isRepeated: false },
  { first: "id: x\ndata: c\n\n", isRepeated: false },
  { first: "data: c\n\n", isRepeated: false },
])("a stream continues only with a higher id: $first", ({ first, isRepeated }) => {
  const splitter = createEventSplitter();
  splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n"));
  splitter.discardPartial();
  expect(splitter.push(Buffer.from(first)).bytes.toString()).toBe(isRepeated ? "" : first);
  expect(splitter.isRepeated).toBe(isRepeated);
  splitter.discardPartial();
  expect(splitter.isRepeated).toBe(false);
});

import fc from "fast-check";
import { expect, test } from "vitest";
import { createEventSplitter } from "./event_splitter.ts";

const STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

test("events come out whole and in order, however the bytes are cut", () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }), (sizes) => {
      const splitter = createEventSplitter();
      const bytes = Buffer.from(STREAM);
      let out = "";
      let count = 0;
      for (let at = 0, step = 0; at < bytes.length; step++) {
        const size = sizes[step % sizes.length] ?? 1;
        const whole = splitter.feed(bytes.subarray(at, at + size));
        out += whole.bytes.toString();
        count += whole.count;
        expect(out === "" || /\n\r?\n$/.test(out)).toBe(true);
        at += size;
      }
      expect(out).toBe(STREAM);
      expect(count).toBe(3);
      expect(splitter.lastId).toBe("3");
      expect(splitter.rest.length).toBe(0);
    }),
  );
});

// A worker crashes in the middle of an event and another goes on after the last whole one. The half event must
// not stand before the same event when it comes again: the caller would see bytes that no worker sent.
test("a half event is forgotten when the stream goes on elsewhere", () => {
  const splitter = createEventSplitter();
  const first = splitter.feed(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  expect(first.bytes.toString()).toBe("id: 1\ndata: a\n\n");
  splitter.resume();
  const second = splitter.feed(Buffer.from("id: 2\ndata: b\n\n"));
  expect(second.bytes.toString()).toBe("id: 2\ndata: b\n\n");
  expect(splitter.lastId).toBe("2");
});

// A worker sends bytes without end and no event among them. Kept until one ends, they would fill the memory, and with
// it end all that other callers have on this instance.
test("bytes that never make an event are given up, and a resumed stream starts afresh", () => {
  const splitter = createEventSplitter();
  const chunk = Buffer.alloc(65_536, "x");
  for (let fed = 0; fed < 100; fed++) {
    expect(splitter.feed(chunk).count).toBe(0);
    expect(splitter.rest.length).toBeLessThanOrEqual(4_194_304);
  }
  expect(splitter.isOverlong).toBe(true);
  splitter.resume();
  expect(splitter.isOverlong).toBe(false);
  expect(splitter.feed(Buffer.from("id: 7\ndata: a\n\n")).count).toBe(1);
});

// What a worker calls an event's id goes into a header of a request to another worker. With a line's end or worse in
// it, that worker could read a second request that nobody sent.
test("an id that can't stand in a header isn't taken for one", () => {
  for (const id of ["5\rX-Other: 1", "5 6", "\u0000", "é", "x".repeat(200)]) {
    const splitter = createEventSplitter();
    splitter.feed(Buffer.from(`id: 4\ndata: a\n\nid: ${id}\ndata: b\n\n`, "latin1"));
    expect(splitter.lastId).toBe("4");
  }
});

test("any bytes at all come out in order, or are held or given up, and give ids for headers only", () => {
  const noise = fc.uint8Array({ maxLength: 400 });
  const lines = fc
    .array(fc.constantFrom("id: 3", "id:\r", "data: a", "", "\r", "id: é", ": note"), {
      maxLength: 30,
    })
    .map((parts) => new TextEncoder().encode(parts.join("\n")));
  fc.assert(
    fc.property(fc.array(fc.oneof(noise, lines)), (chunks) => {
      const splitter = createEventSplitter();
      const out = chunks.map((chunk) => splitter.feed(Buffer.from(chunk)).bytes);
      expect(Buffer.concat([...out, splitter.rest])).toEqual(Buffer.concat(chunks));
      expect(splitter.lastId ?? "1").toMatch(/^[\x21-\x7e]+$/);
    }),
  );
});

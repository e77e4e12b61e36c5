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

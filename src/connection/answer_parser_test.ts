import fc from "fast-check";
import { expect, test } from "vitest";
import { AnswerFault, createAnswerParser } from "./answer_parser.ts";

interface Read {
  readonly status: number | undefined;
  readonly body: string;
  readonly ended: number;
  readonly fault: AnswerFault | undefined;
}

/** Parses one response from bytes split into the given sizes, then signals an orderly close. */
function read(bytes: Buffer, sizes: readonly number[], method = "GET"): Read {
  const parser = createAnswerParser();
  let status: number | undefined;
  let body = "";
  let ended = 0;
  let fault: AnswerFault | undefined;
  parser.expect(method, {
    head: (head) => (status = head.status),
    data: (chunk) => (body += chunk.toString("latin1")),
    end: () => ended++,
  });
  for (let at = 0, step = 0; at < bytes.length && fault === undefined; step++) {
    const size = sizes[step % Math.max(1, sizes.length)] ?? bytes.length;
    fault = parser.feed(bytes.subarray(at, at + size));
    at += size;
  }
  fault ??= parser.finish();
  return { status, body, ended, fault };
}

const SIZES = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 });
const WHOLE = [
  { text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", body: "hello" },
  {
    text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nT: 1\r\n\r\n",
    body: "hello",
  },
  { text: "HTTP/1.1 200 OK\r\n\r\nhello", body: "hello" },
  { text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", body: "" },
  { text: "HTTP/1.1 204 No Content\r\n\r\n", body: "" },
];

test("complete responses are parsed regardless of how their bytes are split", () => {
  fc.assert(
    fc.property(SIZES, fc.constantFrom(...WHOLE), (sizes, { text, body }) => {
      const found = read(Buffer.from(text), sizes);
      expect(found).toMatchObject({ body, ended: 1, fault: undefined });
    }),
  );
});

// Guards against passing on a truncated response as complete when a worker crashes while sending it.
test("a response with a length or in chunks is never complete when truncated", () => {
  fc.assert(
    fc.property(fc.constantFrom(...WHOLE.slice(0, 2)), fc.nat(), SIZES, ({ text }, at, sizes) => {
      const cut = Buffer.from(text).subarray(0, at % text.length);
      const found = read(cut, sizes);
      expect(found.ended).toBe(0);
      expect(found.fault).toBe(AnswerFault.Truncated);
    }),
  );
});

test("arbitrary bytes are parsed or rejected, and end a response at most once", () => {
  const noise = fc.uint8Array({ maxLength: 300 }).map((bytes) => Buffer.from(bytes));
  const spoiled = fc
    .tuple(fc.constantFrom(...WHOLE), fc.nat(), fc.nat(255))
    .map(([{ text }, at, byte]) => {
      const bytes = Buffer.from(text);
      bytes[at % bytes.length] = byte;
      return bytes;
    });
  fc.assert(
    fc.property(fc.oneof(noise, spoiled), SIZES, (bytes, sizes) => {
      const found = read(bytes, sizes);
      expect(found.ended).toBeLessThanOrEqual(1);
    }),
    { numRuns: 500 },
  );
});

// A second response after a complete one belongs to no request and must not reach the next one.
test("bytes after a complete response are a fault", () => {
  const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  fc.assert(
    fc.property(SIZES, fc.string({ minLength: 1 }), (sizes, more) => {
      const found = read(Buffer.from(answer + more), sizes);
      expect(found.fault).toBe(AnswerFault.Unexpected);
      expect(found.body).toBe("ok");
    }),
  );
});

// Two peers that frame the same bytes differently would disagree about where the response ends.
test("ambiguous framing is rejected", () => {
  const heads = [
    "Content-Length: 5\r\nContent-Length: 6",
    "Content-Length: 5\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: gzip, chunked",
    "Content-Length: +5",
    "Content-Length : 5",
  ];
  for (const head of heads) {
    const found = read(Buffer.from(`HTTP/1.1 200 OK\r\n${head}\r\n\r\nhello`), [1_000]);
    expect(found.fault, head).toBe(AnswerFault.Malformed);
  }
});

// Guards against running out of memory on a response head that never ends.
test("a head over the size limit is rejected", () => {
  const endless = Buffer.from(`HTTP/1.1 200 OK\r\nA: ${"x".repeat(70_000)}`);
  expect(read(endless, [1_000]).fault).toBe(AnswerFault.TooLarge);
});

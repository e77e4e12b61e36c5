import fc from "fast-check";
import { expect, test } from "vitest";
import { ParseFault, createResponseParser } from "./response_parser.ts";

interface ParseResult {
  readonly status: number | undefined;
  readonly body: string;
  readonly endCount: number;
  readonly fault: ParseFault | undefined;
}

/** Parses one response from bytes split into the given sizes, then signals an orderly close. */
function parse(bytes: Buffer, sizes: readonly number[], method = "GET"): ParseResult {
  const parser = createResponseParser();
  let status: number | undefined;
  let body = "";
  let endCount = 0;
  let fault: ParseFault | undefined;
  parser.expectResponse(method, {
    head: (head) => (status = head.status),
    data: (chunk) => (body += chunk.toString("latin1")),
    end: () => endCount++,
  });
  for (let offset = 0, step = 0; offset < bytes.length && fault === undefined; step++) {
    const size = sizes[step % Math.max(1, sizes.length)] ?? bytes.length;
    fault = parser.feed(bytes.subarray(offset, offset + size));
    offset += size;
  }
  fault ??= parser.finish();
  return { status, body, endCount, fault };
}

const CHUNK_SIZES = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 });
const COMPLETE_RESPONSES = [
  { text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", body: "hello" },
  {
    text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nT: 1\r\n\r\n",
    body: "hello",
  },
  { text: "HTTP/1.1 200 OK\r\n\r\nhello", body: "hello" },
  { text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", body: "" },
  { text: "HTTP/1.1 204 No Content\r\n\r\n", body: "" },
];

// Guards against a parser that depends on how TCP splits the bytes.
test("complete responses are parsed regardless of how their bytes are split", () => {
  fc.assert(
    fc.property(CHUNK_SIZES, fc.constantFrom(...COMPLETE_RESPONSES), (sizes, { text, body }) => {
      const result = parse(Buffer.from(text), sizes);
      expect(result).toMatchObject({ body, endCount: 1, fault: undefined });
    }),
  );
});

// Guards against passing on a truncated response as complete when a worker crashes while sending it.
test("a response with a length or in chunks is never complete when truncated", () => {
  fc.assert(
    fc.property(
      fc.constantFrom(...COMPLETE_RESPONSES.slice(0, 2)),
      fc.nat(),
      CHUNK_SIZES,
      ({ text }, offset, sizes) => {
        const truncated = Buffer.from(text).subarray(0, offset % text.length);
        const result = parse(truncated, sizes);
        expect(result.endCount).toBe(0);
        expect(result.fault).toBe(ParseFault.Truncated);
      },
    ),
  );
});

// Guards against a faulty worker whose bytes make the parser throw or end a response twice.
test("arbitrary bytes are parsed or rejected, and end a response at most once", () => {
  const noise = fc.uint8Array({ maxLength: 300 }).map((bytes) => Buffer.from(bytes));
  const corrupted = fc
    .tuple(fc.constantFrom(...COMPLETE_RESPONSES), fc.nat(), fc.nat(255))
    .map(([{ text }, offset, byte]) => {
      const bytes = Buffer.from(text);
      bytes[offset % bytes.length] = byte;
      return bytes;
    });
  fc.assert(
    fc.property(fc.oneof(noise, corrupted), CHUNK_SIZES, (bytes, sizes) => {
      const result = parse(bytes, sizes);
      expect(result.endCount).toBeLessThanOrEqual(1);
    }),
    { numRuns: 500 },
  );
});

// A second response after a complete one belongs to no request and must not reach the next one.
test("bytes after a complete response are a fault", () => {
  const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  fc.assert(
    fc.property(CHUNK_SIZES, fc.string({ minLength: 1 }), (sizes, extra) => {
      const result = parse(Buffer.from(response + extra), sizes);
      expect(result.fault).toBe(ParseFault.Unexpected);
      expect(result.body).toBe("ok");
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
    const result = parse(Buffer.from(`HTTP/1.1 200 OK\r\n${head}\r\n\r\nhello`), [1_000]);
    expect(result.fault, head).toBe(ParseFault.Malformed);
  }
});

// Guards against running out of memory on a response head that never ends.
test("a head over the size limit is rejected", () => {
  const endless = Buffer.from(`HTTP/1.1 200 OK\r\nA: ${"x".repeat(70_000)}`);
  expect(parse(endless, [1_000]).fault).toBe(ParseFault.TooLarge);
});

/** Parses copies of a part without end, up to a number of bytes far above any limit. */
function parseEndless(
  start: string,
  part: string,
  size: number,
): ParseResult & { readonly read: number } {
  const most = 4_000_000;
  const parser = createResponseParser();
  let endCount = 0;
  parser.expectResponse("GET", {
    head: () => undefined,
    data: () => undefined,
    end: () => endCount++,
  });
  let fault = parser.feed(Buffer.from(start));
  const bytes = Buffer.from(part.repeat(Math.ceil(Math.max(size, 1) / part.length)));
  let read = 0;
  for (; fault === undefined && read < most; read += bytes.length) {
    for (let offset = 0; fault === undefined && offset < bytes.length; offset += size)
      fault = parser.feed(bytes.subarray(offset, offset + size));
  }
  return { status: undefined, body: "", endCount, fault, read };
}

const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const ENDLESS = [
  { name: "small interim responses", start: "", part: "HTTP/1.1 102 Processing\r\n\r\n" },
  {
    name: "large interim responses",
    start: "",
    part: `HTTP/1.1 103 Early Hints\r\nLink: ${"x".repeat(30_000)}\r\n\r\n`,
  },
  { name: "short trailer lines", start: `${CHUNKED_HEAD}0\r\n`, part: "a: b\r\n" },
  {
    name: "long trailer lines",
    start: `${CHUNKED_HEAD}0\r\n`,
    part: `a: ${"x".repeat(30_000)}\r\n`,
  },
  { name: "one trailer line", start: `${CHUNKED_HEAD}0\r\n`, part: "x" },
  {
    name: "chunk extensions",
    start: CHUNKED_HEAD,
    part: `1;${"x".repeat(200)}\r\nx\r\n`,
  },
];

// Guards against a worker whose bytes are no answer and never end: they were read until the request's deadline.
test.each(ENDLESS)("an answer with endless $name is a fault", ({ start, part }) => {
  for (const size of [1, 7, 65_536]) {
    const { fault, read, endCount } = parseEndless(start, part, size);
    expect(fault).toBe(ParseFault.TooLarge);
    expect(read).toBeLessThan(300_000);
    expect(endCount).toBe(0);
  }
});

test("interim responses and trailers below the limits are accepted for each response", () => {
  const interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(90);
  const text = `${interim}${CHUNKED_HEAD}1\r\nx\r\n0\r\n${"a: b\r\n".repeat(90)}\r\n`;
  const parser = createResponseParser();
  for (let count = 1; count <= 3; count++) {
    let endCount = 0;
    parser.expectResponse("GET", {
      head: () => undefined,
      data: () => undefined,
      end: () => endCount++,
    });
    expect(parser.feed(Buffer.from(text))).toBeUndefined();
    expect(endCount).toBe(1);
  }
});

test("a size line over its limit is rejected however its bytes are split", () => {
  const line = `${CHUNKED_HEAD}1;${"x".repeat(300)}\r\nx\r\n0\r\n\r\n`;
  for (const size of [1, 10_000])
    expect(parse(Buffer.from(line), [size]).fault).toBe(ParseFault.Malformed);
});

// Guards against a head that can't be sent on to a caller: writing it threw an error that ended the whole instance.
test.each(["\0", "\u0001", "\n", "\r", "\u007f"])(
  "a header value with the control character %j is rejected",
  (character) => {
    const text = `HTTP/1.1 200 OK\r\nA: x${character}y\r\nContent-Length: 0\r\n\r\n`;
    expect(parse(Buffer.from(text), [1_000]).fault).toBe(ParseFault.Malformed);
  },
);

// Guards against a worker whose tiny chunks stop the process: each was passed on by itself and cost work and memory.
test("chunks that arrive together are delivered as one piece", () => {
  const text = `${CHUNKED_HEAD}${"1\r\nx\r\n".repeat(10_000)}0\r\n\r\n`;
  const parser = createResponseParser();
  const sizes: number[] = [];
  let hasEnded = false;
  parser.expectResponse("GET", {
    head: () => undefined,
    data: ({ length }) => sizes.push(length),
    end: () => (hasEnded = true),
  });
  expect(parser.feed(Buffer.from(text))).toBeUndefined();
  expect({ sizes, hasEnded }).toEqual({ sizes: [10_000], hasEnded: true });
});

// Guards against the body of a failing worker's response that its caller gets as the response itself.
test.each(["000", "099", "600", "999"])(
  "a response with the status %s, which no class has, is invalid",
  (status) => {
    const inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    const text = `HTTP/1.1 ${status} Unknown\r\nContent-Length: ${inner.length}\r\n\r\n${inner}`;
    const result = parse(Buffer.from(text), [text.length]);
    expect(result).toEqual({
      status: undefined,
      body: "",
      endCount: 0,
      fault: ParseFault.Malformed,
    });
  },
);

import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { expect, test } from "vitest";
import { createCallerMemory, ReadingLimit } from "../decision/index.ts";
import { countBodyBytes } from "../request/index.ts";
import { systemClock } from "../process/system_clock.ts";
import { createAcceptWatch } from "./accept_watch.ts";
import { listenCallers } from "./caller_listener.ts";
import { createConnectionLimit } from "./connection_limit.ts";
import { splitAddress } from "./http_listener.ts";
import type { Listener } from "./http_listener.ts";

interface ListenerState {
  readonly isLate?: () => boolean;
  readonly isClosedToNew?: () => boolean;
}

function listen(
  handle: (request: IncomingMessage, response: ServerResponse) => void,
  onLimit: (limit: string) => void = () => undefined,
  { isLate = () => false, isClosedToNew = () => false }: ListenerState = {},
): Promise<Listener> {
  const memory = createCallerMemory({ limit: 10_000_000, now: () => systemClock.now() });
  const connections = createConnectionLimit({ clock: systemClock, limit: 100, onLimit });
  return listenCallers(
    "127.0.0.1:0",
    { handle, routing: () => undefined, isClosedToNew },
    {
      clock: systemClock,
      memory,
      connections,
      onLimit,
      isLate,
      accepts: createAcceptWatch({ clock: systemClock }),
    },
  );
}

async function open({ address }: Listener): Promise<Socket> {
  const [host, port] = splitAddress(address);
  const socket = connect({ host, port });
  await once(socket, "connect");
  return socket;
}

async function textUntil(socket: Socket, end: string): Promise<string> {
  let text = "";
  for await (const bytes of socket) {
    text += (bytes as Buffer).toString("latin1");
    if (text.endsWith(end)) break;
  }
  return text;
}

// Guards against a caller that has thousands of requests begun at once on one connection.
test("requests that aren't waited for are all answered, a few at a time", async () => {
  let inProgress = 0;
  let most = 0;
  const listener = await listen((request, response) => {
    most = Math.max(most, ++inProgress);
    response.prependOnceListener("close", () => inProgress--);
    setTimeout(() => response.end(request.url), 1);
  });
  const socket = await open(listener);
  const count = 200;
  const requests = Array.from(
    { length: count },
    (_, index) => `GET /${index} HTTP/1.1\r\nHost: a\r\n\r\n`,
  );
  socket.write(requests.join(""));
  const text = await textUntil(socket, `/${count - 1}`);
  expect(text.match(/\r\n\r\n\/\d+/g)).toHaveLength(count);
  expect(most).toBe(4);
  await listener.close();
});

// Guards against bodies that are cut or joined wrongly by parsing them in parts.
test.each([1, 7, 5_000])("a body in chunks of %d bytes arrives whole", async (size) => {
  const listener = await listen((request, response) => {
    const pieces: Buffer[] = [];
    request.on("data", (piece: Buffer) => {
      countBodyBytes(request, piece.length);
      pieces.push(piece);
    });
    request.on("end", () => response.end(Buffer.concat(pieces)));
  });
  const socket = await open(listener);
  const text = Array.from({ length: 35_000 }, (_, index) =>
    index % 5 === 0 ? "\r\n\r\n" : String(index % 10),
  ).join("");
  const chunks = Array.from({ length: Math.ceil(text.length / size) }, (_, index) => {
    const part = text.slice(index * size, (index + 1) * size);
    return `${part.length.toString(16)}\r\n${part}\r\n`;
  });
  socket.write(
    `POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n${chunks.join("")}0\r\n\r\n`,
  );
  const received = await textUntil(socket, "none");
  expect(received.slice(received.indexOf("\r\n\r\n") + 4)).toBe(text);
  await listener.close();
});

test("a caller that ends its side in the middle of many requests is noticed", async () => {
  let closed = 0;
  const listener = await listen((_request, response) => {
    response.once("close", () => closed++);
  });
  const socket = await open(listener);
  socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(3));
  socket.end();
  await expect.poll(() => closed).toBe(3);
  await listener.close();
});

// Guards against a request within another protocol's bytes that runs, possibly on the connection of another caller.
test("what follows a request for another protocol is not parsed", async () => {
  const targets: (string | undefined)[] = [];
  const listener = await listen((request, response) => {
    targets.push(request.url);
    response.end("answer");
  });
  const first = await open(listener);
  first.on("error", () => undefined);
  const closed = new Promise<void>((resolve) => first.once("close", () => resolve()));
  first.resume();
  first.write("CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n");
  await closed;
  const second = await open(listener);
  second.write("GET /own HTTP/1.1\r\nHost: a\r\n\r\n");
  expect(await textUntil(second, "answer")).toMatch(/answer$/);
  expect(targets).toEqual(["/own"]);
  await listener.close();
});

// Guards against bytes without end that occupy the process although nothing comes of them.
test.each([
  [
    ReadingLimit.Framing,
    "413",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
    `1;${"e".repeat(16_000)}\r\nx\r\n`,
  ],
  [ReadingLimit.Gap, "431", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "\r\n".repeat(8_000)],
  [
    ReadingLimit.Refused,
    "200",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000000\r\n\r\n",
    "x".repeat(16_000),
  ],
])("a connection that exceeds the limit %s is read no more", async (limit, status, head, rest) => {
  const limits: string[] = [];
  const listener = await listen(
    (request, response) => {
      request.on("data", (piece: Buffer) => countBodyBytes(request, piece.length));
      if (limit === ReadingLimit.Framing) request.on("end", () => response.end());
      else response.end();
    },
    (reached) => void limits.push(reached),
  );
  const socket = await open(listener);
  let received = "";
  socket.on("data", (bytes: Buffer) => (received += bytes.toString("latin1")));
  socket.on("error", () => undefined);
  const closed = new Promise<void>((resolve) => socket.once("close", () => resolve()));
  socket.write(head);
  const writeRest = (): void => {
    while (!socket.destroyed && socket.write(rest));
  };
  socket.on("drain", writeRest);
  writeRest();
  await closed;
  expect(limits).toEqual([limit]);
  expect(received).toContain(`HTTP/1.1 ${status} `);
  // The limit of the body, what is read at once, and what the operating systems of both sides hold.
  expect(socket.bytesWritten).toBeLessThan(20_000_000);
  await listener.close();
});

// Guards against workers that go on for a caller that has left, because it had sent more requests than are read.
test("a caller that leaves is noticed although more of its requests wait", async () => {
  let closed = 0;
  const listener = await listen((_request, response) => {
    response.once("close", () => closed++);
  });
  const socket = await open(listener);
  socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(10));
  socket.end();
  await expect.poll(() => closed).toBe(4);
  await listener.close();
});

// Guards against work for a caller whose end lies behind its request after a stall of the process.
test("a request that is read late isn't begun if its caller has left", async () => {
  const targets: (string | undefined)[] = [];
  const listener = await listen(
    (request, response) => {
      targets.push(request.url);
      response.end("answer");
    },
    () => undefined,
    { isLate: () => true },
  );
  const leaving = await open(listener);
  leaving.on("error", () => undefined);
  leaving.write("GET /left HTTP/1.1\r\nHost: a\r\n\r\n");
  leaving.destroy();
  const waiting = await open(listener);
  waiting.write("GET /waits HTTP/1.1\r\nHost: a\r\n\r\n");
  expect(await textUntil(waiting, "answer")).toMatch(/answer$/);
  expect(targets).toEqual(["/waits"]);
  await listener.close();
});

// Guards against a request that waits for its turn until the process ends, and is then lost.
test("a request doesn't wait in an instance that is about to end", async () => {
  let begun = 0;
  const listener = await listen(
    (_request, response) => {
      begun++;
      response.end();
    },
    () => undefined,
    { isLate: () => true, isClosedToNew: () => true },
  );
  const socket = await open(listener);
  socket.on("error", () => undefined);
  socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  socket.destroy();
  await expect.poll(() => begun).toBe(1);
  await listener.close();
});

// Guards against the second of two requests that are refused together: it waited for a turn when the refusal of the first
// ended the connection.
test("two requests that arrive together don't wait in an instance that is about to end", async () => {
  const begun: string[] = [];
  let begunAtRefusal: string[] | undefined;
  const listener = await listen(
    (request) => {
      begun.push(request.url ?? "");
      setImmediate(() => (begunAtRefusal ??= [...begun]));
    },
    () => undefined,
    { isLate: () => true, isClosedToNew: () => true },
  );
  const socket = await open(listener);
  socket.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  await expect.poll(() => begunAtRefusal).toEqual(["/1", "/2"]);
  socket.destroy();
  await listener.close();
});

// Guards against requests that are held until their deadlines, and against refusals of what has run.
test("requests that wait for too long are refused, and none of them is begun", async () => {
  const begun = new Set<string>();
  const limits: string[] = [];
  const listener = await listen(
    (request, response) => {
      begun.add(request.url ?? "");
      const end = performance.now() + 30;
      while (performance.now() < end);
      response.end("answer");
    },
    (limit) => void limits.push(limit),
  );
  const ask = async (index: number): Promise<readonly [string, string]> => {
    const socket = await open(listener);
    socket.write(`GET /${index} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`);
    let text = "";
    for await (const bytes of socket) text += (bytes as Buffer).toString("latin1");
    return [`/${index}`, text.slice(9, 12)];
  };
  const answers = await Promise.all(Array.from({ length: 60 }, (_, index) => ask(index)));
  const refused = answers.filter(([, status]) => status === "503");
  expect(answers.filter(([target, status]) => begun.has(target) !== (status === "200"))).toEqual(
    [],
  );
  expect(refused.length).toBeGreaterThan(0);
  expect(limits).toEqual(refused.map(() => ReadingLimit.Wait));
  await listener.close();
});

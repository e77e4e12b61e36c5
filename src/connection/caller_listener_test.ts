import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";
import { createCallerMemory } from "../decision/index.ts";
import { systemClock } from "../process/system_clock.ts";
import { createAcceptWatch } from "./accept_watch.ts";
import { listenCallers } from "./caller_listener.ts";
import { createConnectionLimit } from "./connection_limit.ts";
import { splitAddress } from "./http_listener.ts";
import type { Listener } from "./http_listener.ts";

const CALLER = fileURLToPath(new URL("testing/stalled_server_caller.ts", import.meta.url));
const IDLE_TIMEOUT = 400;
const HEADER_TIMEOUT = 1_200;
/** Milliseconds for which the process stands still: longer than all its timeouts, with what Node.js adds to them. */
const STALL = 2_600;

const answer = (response: ServerResponse): void => void response.end("yes");

const onLimit = (): void => undefined;

/** Listens with the limits of these tests. */
function listen(headerTimeout: number, respond = answer): Promise<Listener> {
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000,
    headerTimeout,
    idleTimeout: IDLE_TIMEOUT,
  };
  const handler = {
    handle: (_request: unknown, response: ServerResponse) => respond(response),
    routing: () => ({ limits }),
  };
  return listenCallers("127.0.0.1:0", handler, {
    clock: systemClock,
    memory: createCallerMemory({ limit: 1_000_000, now: () => systemClock.now() }),
    connections: createConnectionLimit({ clock: systemClock, limit: 100, onLimit }),
    onLimit,
    accepts: createAcceptWatch({ clock: systemClock }),
  });
}

/** Blocks the event loop between reading sockets and running timers. */
function stall(): void {
  setImmediate(() => {
    const end = performance.now() + STALL;
    while (performance.now() < end);
  });
}

// Guards against connections that are closed as idle or too slow although a whole request waits in their socket.
test.each(["kept", "new"])(
  "a request that arrives during a stall on a %s connection is answered",
  async (kind) => {
    const listener = await listen(HEADER_TIMEOUT);
    // The first request makes the limits those in force.
    await (await fetch(`http://${listener.address}/`)).text();
    const caller: ChildProcess = fork(CALLER, [listener.address, kind], {
      execArgv: ["--import", "tsx"],
    });
    await once(caller, "message");
    stall();
    const [received] = (await once(caller, "message")) as [string];
    expect(received).toMatch(/^HTTP\/1.1 200 .*yes$/s);
    caller.kill();
    await listener.close();
  },
);

/** Milliseconds between two parts of a head: longer than the idle timeout with what Node.js adds to it. */
const PART_DELAY = 2_000;

// Guards against a connection that is closed as idle while a request arrives, without an answer, since the idle timeout
// is shorter than the header timeout.
test("a head that arrives more slowly than the idle timeout allows is answered", async () => {
  const listener = await listen(10_000);
  const [host, port] = splitAddress(listener.address);
  const socket = connect({ host, port });
  socket.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  await once(socket, "data");
  socket.write("GET / HT");
  await new Promise((resolve) => setTimeout(resolve, PART_DELAY));
  socket.write("TP/1.1\r\nHost: x\r\n\r\n");
  const [received] = (await once(socket, "data")) as [Buffer];
  expect(String(received)).toMatch(/^HTTP\/1.1 200 /);
  // An idle connection still ends with its timeout.
  await once(socket, "close");
  await listener.close();
});

// Guards against connections that stay open for good, since bytes between two requests don't always begin a head.
test("a connection with an empty line behind its request ends when it is idle", async () => {
  const listener = await listen(500);
  const [host, port] = splitAddress(listener.address);
  const socket = connect({ host, port });
  socket.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  await once(socket, "data");
  socket.write("\r\n");
  await once(socket, "close");
  await listener.close();
});

// Guards against connections that stay open for good: bytes behind a response don't always begin a head, but remove the
// timer that Node.js starts at its end.
test.each([
  { title: "an empty line", request: "GET / HTTP/1.1\r\nHost: x\r\n\r\n", rest: "\r\n" },
  {
    title: "a part of the body",
    request: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n",
    rest: "x",
  },
])("a connection with $title behind its response ends when it is idle", async (bytes) => {
  const responses: ServerResponse[] = [];
  const listener = await listen(500, (response) => {
    responses.push(response);
    answer(response);
  });
  const [host, port] = splitAddress(listener.address);
  const socket = connect({ host, port });
  socket.write(bytes.request);
  await once(socket, "data");
  await expect.poll(() => responses[0]?.closed).toBe(true);
  socket.write(bytes.rest);
  await once(socket, "close");
  await listener.close();
});

// Guards against requests whose connection is ended as idle while they run.
test("a request that runs longer than the idle timeout allows is answered", async () => {
  const listener = await listen(500, (response) => {
    setTimeout(() => response.end("yes"), PART_DELAY);
  });
  for (let request = 0; request < 2; request++) {
    expect(await (await fetch(`http://${listener.address}/`)).text()).toBe("yes");
  }
  await listener.close();
});

// Guards against first requests whose connection is ended as idle before the header timeout has passed.
test("a first head that begins later than the idle timeout allows is answered", async () => {
  const listener = await listen(10_000);
  // The first request makes the limits those in force.
  await (await fetch(`http://${listener.address}/`)).text();
  const [host, port] = splitAddress(listener.address);
  const socket = connect({ host, port });
  await new Promise((resolve) => setTimeout(resolve, PART_DELAY));
  socket.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const [received] = (await once(socket, "data")) as [Buffer];
  expect(String(received)).toMatch(/^HTTP\/1.1 200 /);
  socket.destroy();
  await listener.close();
});

// Guards against connections on which nothing that belongs to a request arrives and that stay open for good.
test.each(["", "\r\n"])("a new connection with only %j ends", async (bytes) => {
  const listener = await listen(500);
  await (await fetch(`http://${listener.address}/`)).text();
  const [host, port] = splitAddress(listener.address);
  const socket = connect({ host, port });
  socket.write(bytes);
  socket.resume();
  await once(socket, "close");
  await listener.close();
});

// Guards against answers that are cut on a slow link: a connection that was closed after its last answer is reset if the
// caller still sends something, and what the caller hasn't received yet is discarded.
test.each([
  { title: "an empty line", bytes: "\r\n" },
  { title: "another request", bytes: "GET / HTTP/1.1\r\nHost: x\r\n\r\n" },
  { title: "bytes that are no request", bytes: "no request\r\n\r\n" },
])(
  "the last answer on a connection is whole if its caller sends $title before it has read it",
  async ({ bytes }) => {
    const body = "x".repeat(1_000_000);
    const responses: ServerResponse[] = [];
    const listener = await listen(500, (response) => {
      if (responses.push(response) > 1) return;
      response.shouldKeepAlive = false;
      response.end(body);
    });
    const [host, port] = splitAddress(listener.address);
    const socket = connect({ host, port });
    socket.setEncoding("latin1");
    socket.pause();
    socket.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    await expect.poll(() => responses[0]?.closed).toBe(true);
    socket.write(bytes);
    let received = "";
    await new Promise((resolve) => setTimeout(resolve, 50));
    socket.on("data", (text: string) => (received += text));
    socket.on("error", () => undefined);
    socket.resume();
    await once(socket, "close");
    expect(received.endsWith(`\r\n\r\n${body}`)).toBe(true);
    await listener.close();
  },
);

// Guards against answers that are replaced by an error of what follows: a worker may already run the first request.
test.each([
  { title: "an invalid request", bytes: "no request\r\n\r\n", status: 400 },
  { title: "a head that stays incomplete", bytes: "GET / HTTP/1.1\r\nHo", status: 408 },
])("a request in progress is answered before the error of $title behind it", async (behind) => {
  const listener = await listen(500, (response) => {
    setTimeout(() => response.end("yes"), PART_DELAY);
  });
  const [host, port] = splitAddress(listener.address);
  const socket = connect({ host, port });
  socket.setEncoding("latin1");
  let received = "";
  socket.on("data", (text: string) => (received += text));
  socket.write(`GET / HTTP/1.1\r\nHost: x\r\n\r\n${behind.bytes}`);
  await once(socket, "close");
  expect(received).toMatch(/^HTTP\/1.1 200 /);
  expect(received).toContain(`yesHTTP/1.1 ${behind.status} `);
  await listener.close();
});

// Guards against requests that go on although their caller has left behind an error.
test("a connection with an error behind a request in progress ends with its caller", async () => {
  const responses: ServerResponse[] = [];
  const listener = await listen(500, (response) => void responses.push(response));
  const [host, port] = splitAddress(listener.address);
  const socket = connect({ host, port });
  socket.write("GET / HTTP/1.1\r\nHost: x\r\n\r\nno request\r\n\r\n");
  await expect.poll(() => responses.length).toBe(1);
  socket.end();
  await expect.poll(() => responses[0]?.closed).toBe(true);
  await listener.close();
});

import { createServer } from "node:net";
import type { Socket } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import type { Dispatch, EngineEvent, Worker } from "../interface/index.ts";
import { systemClock } from "../process/system_clock.ts";
import { systemRandom } from "../process/system_random.ts";
import { createHttpEngine } from "./http_engine.ts";

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

/** Starts a plain service that sends these bytes to each request and then ends the connection. */
function startService(bytes: string, end: (socket: Socket) => void): Promise<Worker> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => socket.write(bytes, () => setTimeout(() => end(socket), 20)));
  });
  closers.push(() => new Promise((resolve) => server.close(resolve)));
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const bound = server.address();
      const port = typeof bound === "object" && bound !== null ? bound.port : 0;
      resolve({ id: "b1", address: `http://127.0.0.1:${port}` } as Worker);
    });
  });
}

async function call(worker: Worker, path = "GET /chips/7"): Promise<EngineEvent[]> {
  const engine = createHttpEngine({ clock: systemClock, random: systemRandom });
  closers.push(() => engine.close());
  const dispatch = { id: "r1", path, body: "" } as Dispatch;
  const events: EngineEvent[] = [];
  for await (const event of engine.run(worker, dispatch, AbortSignal.timeout(5_000)))
    events.push(event);
  return events;
}

const close = (socket: Socket): unknown => socket.end();
const reset = (socket: Socket): unknown => socket.resetAndDestroy();
const HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";

// Guards against half an answer of a plain service that is stored and returned to callers as complete.
describe("an incomplete answer of a plain service fails the call", () => {
  test.each([
    ["with a length, closed", `${HEAD}Content-Length: 10\r\n\r\nhalf`, close],
    ["with a length, reset", `${HEAD}Content-Length: 10\r\n\r\nhalf`, reset],
    ["chunked, closed", `${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`, close],
    ["chunked, reset", `${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`, reset],
    ["with neither, reset", `${HEAD}\r\nhalf`, reset],
    [
      "with neither and the connection announced to close, reset",
      `${HEAD}Connection: close\r\n\r\nhalf`,
      reset,
    ],
  ])("%s", async (_, bytes, end) => {
    const worker = await startService(bytes, end);
    await expect(call(worker)).rejects.toMatchObject({ peer: "b1", notSent: false });
  });
});

test("an answer of a plain service may end with its connection", async () => {
  const worker = await startService(`${HEAD}\r\nwhole`, close);
  const [, finished] = await call(worker);
  expect(finished).toMatchObject({ kind: "finished" });
  expect(JSON.stringify(finished)).toContain("whole");
});

/** Sends bytes until the caller closes the connection. */
const sendEndlessly = (socket: Socket): void => {
  const piece = Buffer.alloc(65_536, "x");
  const write = (): void => {
    while (!socket.destroyed && socket.write(piece));
  };
  socket.on("drain", write);
  write();
};

// Guards against a backend server in trouble that fills the memory of the instance with bytes that never end.
describe("an answer without end fails the call", () => {
  test.each([
    ["of a plain service", "GET /chips/7", `${HEAD}\r\n`],
    ["of an engine, within an event", "/v1/chat", `${HEAD}\r\ndata: `],
    ["of an engine, with an error", "/v1/chat", "HTTP/1.1 500 Internal Server Error\r\n\r\n"],
  ])("%s", async (_, path, bytes) => {
    const worker = await startService(bytes, sendEndlessly);
    await expect(call(worker, path)).rejects.toThrow(/larger|longer/);
  });
});

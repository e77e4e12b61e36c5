import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { Worker } from "node:worker_threads";
import { afterEach, expect, test, vi } from "vitest";
import { createReceiveBudget } from "../decision/index.ts";
import type { ExceededLimit, ReceiveBudget } from "../decision/index.ts";
import { systemClock } from "../process/system_clock.ts";
import { connectTcp, dialDirect } from "./dial.ts";
import { openWorkerConnection } from "./worker_connection.ts";
import type { WorkerConnection } from "./worker_connection.ts";
import type { ExchangeEnd } from "../interface/index.ts";

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

/** Starts a worker that handles each connection with the given function; resolves with its address. */
function startWorker(serve: (socket: Socket) => void): Promise<string> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    serve(socket);
  });
  closers.push(() => {
    for (const socket of sockets) socket.destroy();
    return new Promise((resolve) => server.close(resolve));
  });
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      const port = typeof address === "object" && address !== null ? address.port : 0;
      resolve(`127.0.0.1:${port}`);
    });
  });
}

function connectTo(
  address: string,
  {
    budget = createReceiveBudget(),
    whenRead = (send) => send(),
  }: { budget?: ReceiveBudget; whenRead?: (send: () => void) => void } = {},
): WorkerConnection {
  const connection = openWorkerConnection({
    clock: systemClock,
    dial: (listener) => dialDirect(address, { clock: systemClock, connect: connectTcp }, listener),
    matching: { idHeader: "x-id", notRunHeader: "x-not-run" },
    budget,
    whenRead,
    worker: "i-1",
    onReceived: () => undefined,
    onWorking: () => undefined,
    onBrokenUnused: () => undefined,
    onHead: () => undefined,
    onIdle: () => undefined,
    onClosed: () => undefined,
  });
  closers.push(() => connection.close());
  return connection;
}

interface Outcome {
  readonly end: ExchangeEnd;
  readonly status: number | undefined;
  readonly body: string;
}

function sendRequest(connection: WorkerConnection, id = "r1"): Promise<Outcome> {
  return new Promise((resolve) => {
    let status: number | undefined;
    let body = "";
    connection.exchange(
      { method: "GET", target: "/", headers: ["X-Id", id], body: Buffer.alloc(0), id },
      {
        head: (head) => (status = head.status),
        data: (chunk) => (body += chunk.toString()),
        end: (end) => resolve({ end, status, body }),
      },
    );
  });
}

// Guards against reporting a valid response as broken because its end is marked by the close alone.
test("a response without a length is complete if the worker closes in an orderly way", async () => {
  const address = await startWorker((socket) => {
    socket.once("data", () => socket.end("HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nwhole"));
  });
  const { end, body } = await sendRequest(connectTo(address));
  expect(end.kind).toBe("complete");
  expect(body).toBe("whole");
});

// Guards against reporting a truncated response as complete. A worker crashes while it sends a response without
// a length. If the last bytes and the reset reach a busy instance together, Node.js reports an orderly end.
test("a response without a length is broken if the connection is reset", async () => {
  const thread = new Worker(
    `const { createServer } = require("node:net");
     const { parentPort } = require("node:worker_threads");
     const server = createServer((socket) => {
       socket.on("error", () => {});
       socket.once("data", () => setTimeout(() =>
         socket.write("HTTP/1.1 200 OK\\r\\nX-Id: r1\\r\\n\\r\\nhal", () => socket.resetAndDestroy()), 80));
     });
     server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));`,
    { eval: true },
  );
  closers.push(() => thread.terminate());
  const port = await new Promise<number>((resolve) => thread.once("message", resolve));
  const connection = connectTo(`127.0.0.1:${port}`);
  const outcome = sendRequest(connection);
  // Blocks the event loop until both the bytes and the reset have arrived.
  await new Promise((resolve) => setTimeout(resolve, 40));
  const until = performance.now() + 250;
  while (performance.now() < until);
  const { end } = await outcome;
  expect(end.kind).toBe("broken");
});

// Guards against passing on half a response when a worker closes the connection early.
test("a truncated response is broken, not complete", async () => {
  const address = await startWorker((socket) => {
    socket.once("data", () =>
      socket.end("HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 10\r\n\r\nhalf"),
    );
  });
  expect((await sendRequest(connectTo(address))).end.kind).toBe("broken");
});

// Guards against returning the late response to an earlier request as the response to this one.
test("the response to another request is discarded", async () => {
  const address = await startWorker((socket) => {
    socket.once("data", () =>
      socket.write("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno"),
    );
  });
  const { end, status } = await sendRequest(connectTo(address));
  expect(end.kind).toBe("broken");
  expect(status).toBeUndefined();
});

// Guards against reusing a connection on which a worker sent a second response: the next request would get it.
test("a connection with bytes after a complete response isn't reused", async () => {
  const response = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok";
  const address = await startWorker((socket) => {
    socket.once("data", () => socket.write(response + response));
  });
  const connection = connectTo(address);
  const { end, body } = await sendRequest(connection);
  expect(end.kind).toBe("complete");
  expect(body).toBe("ok");
  await new Promise((resolve) => setTimeout(resolve, 20));
  expect(connection.isIdle()).toBe(false);
});

// Guards against incomplete heads on many connections that together exceed the memory of the process.
test("incomplete heads hold no more than the budget together", async () => {
  const address = await startWorker((socket) => {
    socket.once("data", () =>
      socket.write(`HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Long: ${"x".repeat(40_000)}`),
    );
  });
  const exceeded: ExceededLimit[] = [];
  const budget = createReceiveBudget({
    maxShared: 50_000,
    onExceeded: (one) => void exceeded.push(one),
  });
  const ends: ExchangeEnd[] = [];
  for (let index = 0; index < 4; index++) {
    const connection = connectTo(address, { budget });
    void sendRequest(connection).then(({ end }) => void ends.push(end));
  }
  await vi.waitFor(() => expect(ends.map(({ kind }) => kind)).toEqual(["broken", "broken"]));
  expect(exceeded).toHaveLength(2);
  expect(budget.shared).toBeLessThanOrEqual(50_000);
});

// Guards against treating a request that was certainly not sent as one that may have run.
test("an exchange on a refused connection ends as not sent", async () => {
  const { end } = await sendRequest(connectTo("127.0.0.1:9"));
  expect(end.kind).toBe("not-sent");
});

// Guards against discarding a worker's own rejection, which may lack the id, as another request's response.
test("a response that marks the request as not run needs no id", async () => {
  const address = await startWorker((socket) => {
    socket.once("data", () =>
      socket.write("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
    );
  });
  const { end, status } = await sendRequest(connectTo(address));
  expect(end.kind).toBe("complete");
  expect(status).toBe(503);
});

// An attempt that is kept while another worker is asked is paused, perhaps before its connection is open. What arrives in
// the meantime must not be lost: the caller gets it if the other worker refuses the request.
test.each(["pause", "hold"] as const)(
  "a response is read after a %s that began before the connection was open",
  async (stop) => {
    const address = await startWorker((socket) => {
      socket.once("data", () =>
        socket.end("HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\nwhole"),
      );
    });
    const connection = connectTo(address);
    const events: string[] = [];
    const ended = new Promise<void>((resolve) => {
      const exchange = connection.exchange(
        { method: "GET", target: "/", headers: ["X-Id", "r1"], body: Buffer.alloc(0), id: "r1" },
        {
          head: () => events.push("head"),
          data: (chunk) => events.push(chunk.toString()),
          end: ({ kind }) => {
            events.push(kind);
            resolve();
          },
        },
      );
      exchange[stop]();
      setTimeout(() => {
        events.push("resumed");
        exchange.resume();
      }, 100);
    });
    await ended;
    expect(events).toEqual(["resumed", "head", "whole", "complete"]);
  },
);

// Guards against requests that a worker answers and whose answers are never read: the caller of the request before was slow
// while the last bytes of its response arrived, and the connection stayed paused.
test.each(["pause", "hold"] as const)(
  "the response after one that ended within a %s is read",
  async (stop) => {
    const address = await startWorker((socket) => {
      socket.on("data", () =>
        socket.write("HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\nwhole"),
      );
    });
    const connection = connectTo(address);
    await new Promise<void>((resolve) => {
      const exchange = connection.exchange(
        { method: "GET", target: "/", headers: ["X-Id", "r1"], body: Buffer.alloc(0), id: "r1" },
        { head: () => undefined, data: () => exchange[stop](), end: () => resolve() },
      );
    });
    expect(connection.isIdle()).toBe(true);
    expect((await sendRequest(connection)).body).toBe("whole");
  },
);

// Guards against a crash of a worker that isn't noticed, because nothing is read from it while the request is elsewhere.
test("an exchange that is held ends at once with its connection", async () => {
  const address = await startWorker((socket) => {
    socket.once("data", () => setTimeout(() => socket.end(), 50));
  });
  const ended = new Promise<ExchangeEnd>((resolve) => {
    const exchange = connectTo(address).exchange(
      { method: "GET", target: "/", headers: ["X-Id", "r1"], body: Buffer.alloc(0), id: "r1" },
      { head: () => undefined, data: () => undefined, end: resolve },
    );
    exchange.hold();
  });
  expect((await ended).kind).toBe("broken");
});

// Guards against a complete answer that is lost, because its connection ended while the request was to move.
test("a response that ended with its connection while it was held is complete after it is resumed", async () => {
  const address = await startWorker((socket) => {
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nwhole");
      setTimeout(() => socket.end(), 50);
    });
  });
  const events: string[] = [];
  const exchange = connectTo(address).exchange(
    { method: "GET", target: "/", headers: ["X-Id", "r1"], body: Buffer.alloc(0), id: "r1" },
    {
      head: () => undefined,
      data: (chunk) => {
        events.push(chunk.toString());
        exchange.hold();
        setTimeout(() => {
          events.push("resumed");
          exchange.resume();
        }, 100);
      },
      end: ({ kind }) => void events.push(kind),
    },
  );
  await vi.waitFor(() => expect(events).toEqual(["whole", "resumed", "complete"]));
});

// Guards against a request that is sent after a stall of the process although its caller has left during the stall.
test("a request that is aborted before it is known which callers have left isn't sent", async () => {
  let received = "";
  const address = await startWorker((socket) => {
    socket.on("data", (bytes: Buffer) => (received += bytes.toString()));
  });
  const sends: (() => void)[] = [];
  const connection = connectTo(address, { whenRead: (send) => void sends.push(send) });
  const sink = { head: vi.fn(), data: vi.fn(), end: vi.fn() };
  const request = { method: "GET", target: "/", headers: [], body: Buffer.alloc(0), id: "r1" };
  const exchange = connection.exchange(request, sink);
  await expect.poll(() => sends.length).toBe(1);
  exchange.abort();
  for (const send of sends) send();
  expect(exchange.sentAt).toBeUndefined();
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(received).toBe("");
});

// Guards against a worker in trouble whose caller gets the body of its response as a successful one.
test("a response with the status 000 whose body looks like a response breaks the exchange", async () => {
  const inner = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\nwrong";
  const address = await startWorker((socket) => {
    socket.once("data", () =>
      socket.write(`HTTP/1.1 000 \r\nX-Id: r1\r\nContent-Length: ${inner.length}\r\n\r\n${inner}`),
    );
  });
  const { end, status, body } = await sendRequest(connectTo(address));
  expect({ kind: end.kind, status, body }).toEqual({ kind: "broken", status: undefined, body: "" });
});

// Guards against a worker that is told the time that was left before its connection was established.
test("the headers of a request are read when it is sent", async () => {
  let received = "";
  const address = await startWorker((socket) => {
    socket.on("data", (bytes: Buffer) => (received += bytes.toString()));
  });
  const sends: (() => void)[] = [];
  const connection = connectTo(address, { whenRead: (send) => void sends.push(send) });
  const sink = { head: vi.fn(), data: vi.fn(), end: vi.fn() };
  let timeLeft = 500;
  connection.exchange(
    {
      method: "GET",
      target: "/",
      get headers() {
        return ["X-Time-Left", String(timeLeft)];
      },
      body: Buffer.alloc(0),
      id: "r1",
    },
    sink,
  );
  await expect.poll(() => sends.length).toBe(1);
  timeLeft = 20;
  for (const send of sends) send();
  await expect.poll(() => received).toContain("X-Time-Left: 20\r\n");
});

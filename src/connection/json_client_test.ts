import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { createReceiveBudget, ReceivedPart } from "../decision/index.ts";
import type { ExceededLimit } from "../decision/index.ts";
import { sendJson } from "./http_body.ts";
import { listenHttp } from "./http_listener.ts";
import { createJsonClient } from "./json_client.ts";
import type { JsonClient } from "./json_client.ts";

const TIMEOUT = 200;
/** Milliseconds that a slow call takes: longer than the timeout of the others. */
const SLOW = 2 * TIMEOUT;
const CONNECTIONS = 4;

const closers: (() => Promise<void> | void)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

/** Starts a service whose connections can go silent, and a client with idle connections to it. */
async function startWithIdleConnections(): Promise<{ client: JsonClient; silence: () => void }> {
  const silentSockets = new WeakSet<Socket>();
  const sockets = new Set<Socket>();
  const service = await listenHttp("127.0.0.1:0", ({ socket, url }, response) => {
    sockets.add(socket);
    const isSlow = url === "/slow";
    if (!silentSockets.has(socket)) setTimeout(() => sendJson(response, {}), isSlow ? SLOW : 20);
  });
  const client = createJsonClient(service.address, {
    connections: CONNECTIONS,
    budget: createReceiveBudget(),
  });
  closers.push(
    () => client.close(),
    () => service.close(),
  );
  const calls = Array.from({ length: CONNECTIONS }, () => call(client));
  await Promise.all(calls);
  expect(sockets.size).toBe(CONNECTIONS);
  const silence = (): void => {
    for (const socket of sockets) silentSockets.add(socket);
  };
  return { client, silence };
}

async function call(client: JsonClient): Promise<number> {
  const { status } = await client.call({ method: "GET", path: "/", timeout: TIMEOUT });
  return status;
}

// All connections have gone silent. If each idle one is tried in turn, the service seems to be unavailable for as many
// timeouts.
test("after a timeout the next call uses a new connection", async () => {
  const { client, silence } = await startWithIdleConnections();
  silence();
  await expect(call(client)).rejects.toThrow("no response");
  expect(await call(client)).toBe(200);
});

// A timeout shows nothing about a connection whose call the service is still processing, such as a watch.
test("a timeout doesn't end calls in progress", async () => {
  const { client, silence } = await startWithIdleConnections();
  const inProgress = client.call({ method: "GET", path: "/slow", timeout: 2 * SLOW });
  await new Promise((resolve) => setTimeout(resolve, 20));
  silence();
  await expect(call(client)).rejects.toThrow("no response");
  expect((await inProgress).status).toBe(200);
});

/** Starts a service whose responses never end; resolves with its address. */
async function startEndless(): Promise<string> {
  const piece = Buffer.alloc(65_536, "x");
  const server: Server = createServer((socket) => {
    const write = (): void => {
      while (!socket.destroyed && socket.write(piece));
    };
    socket.on("error", () => undefined);
    socket.on("drain", write);
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\n\r\n");
      write();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  closers.push(() => new Promise((resolve) => server.close(() => resolve())));
  const bound = server.address();
  if (bound === null || typeof bound === "string") throw new Error("The service has no port.");
  return `127.0.0.1:${bound.port}`;
}

// Guards against a service in trouble that fills the memory of the instance with responses that never end.
test.each([
  { title: "one response", maxShared: 100_000_000, calls: 1, most: 9_000_000 },
  { title: "all responses together", maxShared: 4_000_000, calls: 4, most: 4_500_000 },
])("$title without end fail at a limit", async ({ maxShared, calls, most }) => {
  const exceeded: ExceededLimit[] = [];
  const budget = createReceiveBudget({ maxShared, onExceeded: (one) => void exceeded.push(one) });
  const address = await startEndless();
  const client = createJsonClient(address, { connections: calls, budget });
  closers.push(() => client.close());
  const results = await Promise.allSettled(
    Array.from({ length: calls }, () => client.call({ method: "GET", path: "/", timeout: 5_000 })),
  );
  for (const result of results) expect(result).toMatchObject({ status: "rejected" });
  expect(exceeded).toHaveLength(calls);
  for (const { part, source, shared } of exceeded) {
    expect([part, source]).toEqual([ReceivedPart.Json, address]);
    expect(shared).toBeLessThan(most);
  }
  expect(budget.shared).toBe(0);
});

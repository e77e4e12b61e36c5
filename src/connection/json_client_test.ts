import type { Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
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
  const client = createJsonClient(service.address, CONNECTIONS);
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
